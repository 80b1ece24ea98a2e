#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_CHART_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_CHART_HPP

#include "core/name_table.hpp"

/// The names that charts/target.jsonc may use.
namespace pomelohinge {

enum class target_state {
    /// It gets any request.
    trusted,
    /// It has failed lately: it gets single requests that may be repeated.
    suspect,
    /// It gets nothing for a while.
    ejected,
};

template <>
inline constexpr auto name_table<target_state> = make_name_table<target_state>({
    {target_state::trusted, "trusted"},
    {target_state::suspect, "suspect"},
    {target_state::ejected, "ejected"},
});
static_assert(is_ordered<target_state>());

enum class target_event {
    /// A whole answer came.
    answered,
    /// An attempt failed in a way that only the target can have caused.
    faulted,
    /// An attempt was not answered; the way may be at fault.
    silent,
    /// Time has passed.
    rested,
};

template <>
inline constexpr auto name_table<target_event> = make_name_table<target_event>({
    {target_event::answered, "answered"},
    {target_event::faulted, "faulted"},
    {target_event::silent, "silent"},
    {target_event::rested, "rested"},
});
static_assert(is_ordered<target_event>());

/// How much it is doubted.
enum class target_guard {
    is_below_recovery_threshold,
    reaches_suspicion_threshold,
    is_below_probe_threshold,
    reaches_ejection_threshold,
};

template <>
inline constexpr auto name_table<target_guard> = make_name_table<target_guard>({
    {target_guard::is_below_recovery_threshold, "is_below_recovery_threshold"},
    {target_guard::reaches_suspicion_threshold, "reaches_suspicion_threshold"},
    {target_guard::is_below_probe_threshold, "is_below_probe_threshold"},
    {target_guard::reaches_ejection_threshold, "reaches_ejection_threshold"},
});
static_assert(is_ordered<target_guard>());

/// Its states have no actions: what was seen is counted apart.
enum class target_action { none };

template <>
inline constexpr auto
    name_table<target_action> = make_name_table<target_action>({
        {target_action::none, "none"},
    });
static_assert(is_ordered<target_action>());

/// Binds charts/target.jsonc to its names.
struct target_chart
{
    using state_type = target_state;
    using event_type = target_event;
    using guard_type = target_guard;
    using action_type = target_action;
};

} // namespace pomelohinge

#endif
