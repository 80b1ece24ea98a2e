#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_VM_CHART_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_VM_CHART_HPP

#include "core/name_table.hpp"

/// The names that charts/vm.jsonc may use.
namespace pomelohinge {

enum class vm_state { unheard, alive, suspected, lost, leaving, gone };

template <>
inline constexpr auto name_table<vm_state> = make_name_table<vm_state>({
    {vm_state::unheard, "unheard"},
    {vm_state::alive, "alive"},
    {vm_state::suspected, "suspected"},
    {vm_state::lost, "lost"},
    {vm_state::leaving, "leaving"},
    {vm_state::gone, "gone"},
});
static_assert(is_ordered<vm_state>());

enum class vm_event {
    heard,
    silent,
    vouched,
    unanswered,
    unwritten,
    goodbye,
    removed,
};

template <>
inline constexpr auto name_table<vm_event> = make_name_table<vm_event>({
    {vm_event::heard, "heard"},
    {vm_event::silent, "silent"},
    {vm_event::vouched, "vouched"},
    {vm_event::unanswered, "unanswered"},
    {vm_event::unwritten, "unwritten"},
    {vm_event::goodbye, "goodbye"},
    {vm_event::removed, "removed"},
});
static_assert(is_ordered<vm_event>());

/// This chart needs no guards; the table holds a name that files must not
/// use.
enum class vm_guard { none };

template <>
inline constexpr auto name_table<vm_guard> = make_name_table<vm_guard>(
    {{vm_guard::none, "none"}});
static_assert(is_ordered<vm_guard>());

enum class vm_action { ask_others, remove_from_view };

template <>
inline constexpr auto name_table<vm_action> = make_name_table<vm_action>({
    {vm_action::ask_others, "ask_others"},
    {vm_action::remove_from_view, "remove_from_view"},
});
static_assert(is_ordered<vm_action>());

/// Binds charts/vm.jsonc to its names.
struct vm_chart
{
    using state_type = vm_state;
    using event_type = vm_event;
    using guard_type = vm_guard;
    using action_type = vm_action;
};

} // namespace pomelohinge

#endif
