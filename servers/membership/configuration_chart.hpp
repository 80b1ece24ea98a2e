#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_CONFIGURATION_CHART_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_CONFIGURATION_CHART_HPP

#include "core/name_table.hpp"

/// The names that charts/configuration.jsonc may use.
namespace pomelohinge {

enum class configuration_state { empty, following, behind };

template <>
inline constexpr auto
    name_table<configuration_state> = make_name_table<configuration_state>({
        {configuration_state::empty, "empty"},
        {configuration_state::following, "following"},
        {configuration_state::behind, "behind"},
    });
static_assert(is_ordered<configuration_state>());

enum class configuration_event {
    entry_next,
    entry_ahead,
    entry_known,
    confirmed_current,
    still_missing,
};

template <>
inline constexpr auto
    name_table<configuration_event> = make_name_table<configuration_event>({
        {configuration_event::entry_next, "entry_next"},
        {configuration_event::entry_ahead, "entry_ahead"},
        {configuration_event::entry_known, "entry_known"},
        {configuration_event::confirmed_current, "confirmed_current"},
        {configuration_event::still_missing, "still_missing"},
    });
static_assert(is_ordered<configuration_event>());

/// This chart needs no guards; the table holds a name that files must not
/// use.
enum class configuration_guard { none };

template <>
inline constexpr auto name_table<configuration_guard> =
    make_name_table<configuration_guard>({{configuration_guard::none, "none"}});
static_assert(is_ordered<configuration_guard>());

enum class configuration_action { apply_entry, ask_missing };

template <>
inline constexpr auto
    name_table<configuration_action> = make_name_table<configuration_action>({
        {configuration_action::apply_entry, "apply_entry"},
        {configuration_action::ask_missing, "ask_missing"},
    });
static_assert(is_ordered<configuration_action>());

/// Binds charts/configuration.jsonc to its names.
struct configuration_chart
{
    using state_type = configuration_state;
    using event_type = configuration_event;
    using guard_type = configuration_guard;
    using action_type = configuration_action;
};

} // namespace pomelohinge

#endif
