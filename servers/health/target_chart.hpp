#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_CHART_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_CHART_HPP

#include "core/name_table.hpp"

/// Names of the states, events, guards and actions in charts/target.jsonc.
namespace pomelohinge {

enum class target_state {
    /// The target gets any request.
    trusted,
    /// The target has failed recently: it gets only single requests that may
    /// be retried.
    suspect,
    /// The target gets no requests until its failure probability has decayed.
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
    /// A complete answer was received.
    answered,
    /// An attempt failed in a way that only the target can have caused.
    faulted,
    /// An attempt got no answer; the network path may be the cause.
    silent,
    /// A reused connection ended without an answer; the target has probably
    /// closed it while it was idle.
    dropped,
    /// Fired periodically: the failure probability may have decayed.
    rested,
};

template <>
inline constexpr auto name_table<target_event> = make_name_table<target_event>({
    {target_event::answered, "answered"},
    {target_event::faulted, "faulted"},
    {target_event::silent, "silent"},
    {target_event::dropped, "dropped"},
    {target_event::rested, "rested"},
});
static_assert(is_ordered<target_event>());

/// Comparisons of the target's failure probability with a threshold.
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

/// The chart has no actions; observations are counted in `target_health`.
enum class target_action { none };

template <>
inline constexpr auto
    name_table<target_action> = make_name_table<target_action>({
        {target_action::none, "none"},
    });
static_assert(is_ordered<target_action>());

/// The name tables that charts/target.jsonc is bound to.
struct target_chart
{
    using state_type = target_state;
    using event_type = target_event;
    using guard_type = target_guard;
    using action_type = target_action;
};

} // namespace pomelohinge

#endif
