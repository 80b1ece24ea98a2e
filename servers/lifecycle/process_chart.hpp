#ifndef POMELOHINGE_SERVERS_LIFECYCLE_PROCESS_CHART_HPP
#define POMELOHINGE_SERVERS_LIFECYCLE_PROCESS_CHART_HPP

#include "core/name_table.hpp"

/// Names of the states, events, guards and actions in charts/process.jsonc.
namespace pomelohinge {

enum class process_state {
    starting,
    serving,
    leaving,
    draining,
    writing_answers,
    closing_peers,
    stopping_threads,
    ended,
};

template <>
inline constexpr auto
    name_table<process_state> = make_name_table<process_state>({
        {process_state::starting, "starting"},
        {process_state::serving, "serving"},
        {process_state::leaving, "leaving"},
        {process_state::draining, "draining"},
        {process_state::writing_answers, "writing_answers"},
        {process_state::closing_peers, "closing_peers"},
        {process_state::stopping_threads, "stopping_threads"},
        {process_state::ended, "ended"},
    });
static_assert(is_ordered<process_state>());

enum class process_event {
    started,
    start_failed,
    stop_requested,
    requests_open,
    /// No request is without its answer.
    requests_ended,
    /// The step of the current state is done.
    closed,
    /// The deadline of the current state has passed.
    expired,
};

template <>
inline constexpr auto
    name_table<process_event> = make_name_table<process_event>({
        {process_event::started, "started"},
        {process_event::start_failed, "start_failed"},
        {process_event::stop_requested, "stop_requested"},
        {process_event::requests_open, "requests_open"},
        {process_event::requests_ended, "requests_ended"},
        {process_event::closed, "closed"},
        {process_event::expired, "expired"},
    });
static_assert(is_ordered<process_event>());

enum class process_guard {
    /// New requests are refused already.
    refuses_requests,
};

template <>
inline constexpr auto
    name_table<process_guard> = make_name_table<process_guard>({
        {process_guard::refuses_requests, "refuses_requests"},
    });
static_assert(is_ordered<process_guard>());

enum class process_action {
    announce_leave,
    /// Requests that the stop would cut are refused.
    limit_requests,
    stop_listening,
    count_requests,
    refuse_requests,
    close_peers,
    stop_threads,
    /// The step goes on while the process ends.
    abandon_step,
    end,
};

template <>
inline constexpr auto
    name_table<process_action> = make_name_table<process_action>({
        {process_action::announce_leave, "announce_leave"},
        {process_action::limit_requests, "limit_requests"},
        {process_action::stop_listening, "stop_listening"},
        {process_action::count_requests, "count_requests"},
        {process_action::refuse_requests, "refuse_requests"},
        {process_action::close_peers, "close_peers"},
        {process_action::stop_threads, "stop_threads"},
        {process_action::abandon_step, "abandon_step"},
        {process_action::end, "end"},
    });
static_assert(is_ordered<process_action>());

/// The name tables that charts/process.jsonc is bound to.
struct process_chart
{
    using state_type = process_state;
    using event_type = process_event;
    using guard_type = process_guard;
    using action_type = process_action;
};

} // namespace pomelohinge

#endif
