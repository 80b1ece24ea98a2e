#ifndef POMELOHINGE_SERVERS_HEALTH_PATH_CHART_HPP
#define POMELOHINGE_SERVERS_HEALTH_PATH_CHART_HPP

#include "core/name_table.hpp"

/// Names of the states, events, guards and actions in charts/path.jsonc.
namespace pomelohinge {

enum class path_state {
    /// Requests may be sent.
    open,
    /// The latest attempts got no answer: the path or the target may fail.
    in_doubt,
    /// Other VMs reach the target and this one does not; nothing is sent.
    closed,
    /// Other VMs reach the target; a single attempt shows whether this one
    /// does.
    on_trial,
};

template <>
inline constexpr auto name_table<path_state> = make_name_table<path_state>({
    {path_state::open, "open"},
    {path_state::in_doubt, "in_doubt"},
    {path_state::closed, "closed"},
    {path_state::on_trial, "on_trial"},
});
static_assert(is_ordered<path_state>());

enum class path_event {
    /// An attempt of this thread reached the target.
    reached,
    /// An attempt of this thread got no answer.
    silent,
    /// Another VM reports an answer of the target.
    reached_elsewhere,
    /// Fired periodically.
    rested,
};

template <>
inline constexpr auto name_table<path_event> = make_name_table<path_event>({
    {path_event::reached, "reached"},
    {path_event::silent, "silent"},
    {path_event::reached_elsewhere, "reached_elsewhere"},
    {path_event::rested, "rested"},
});
static_assert(is_ordered<path_event>());

enum class path_guard {
    /// The doubt has lasted for so long that an answer reported now was given
    /// after it began.
    outlasts_reports,
    is_doubt_expired,
    is_trial_due,
};

template <>
inline constexpr auto name_table<path_guard> = make_name_table<path_guard>({
    {path_guard::outlasts_reports, "outlasts_reports"},
    {path_guard::is_doubt_expired, "is_doubt_expired"},
    {path_guard::is_trial_due, "is_trial_due"},
});
static_assert(is_ordered<path_guard>());

enum class path_action {
    start_doubt,
    /// Sets the time of the next trial; the delay doubles from trial to trial.
    schedule_trial,
    reset_delay,
};

template <>
inline constexpr auto name_table<path_action> = make_name_table<path_action>({
    {path_action::start_doubt, "start_doubt"},
    {path_action::schedule_trial, "schedule_trial"},
    {path_action::reset_delay, "reset_delay"},
});
static_assert(is_ordered<path_action>());

/// The name tables that charts/path.jsonc is bound to.
struct path_chart
{
    using state_type = path_state;
    using event_type = path_event;
    using guard_type = path_guard;
    using action_type = path_action;
};

} // namespace pomelohinge

#endif
