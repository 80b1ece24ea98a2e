#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_CHART_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_CHART_HPP

#include "core/name_table.hpp"

/// Names of the states, events, guards and actions in charts/request.jsonc.
namespace pomelohinge {

enum class request_state {
    received,
    creating_record,
    charging,
    placing,
    sent,
    answered,
    abandoned,
};

template <>
inline constexpr auto
    name_table<request_state> = make_name_table<request_state>({
        {request_state::received, "received"},
        {request_state::creating_record, "creating_record"},
        {request_state::charging, "charging"},
        {request_state::placing, "placing"},
        {request_state::sent, "sent"},
        {request_state::answered, "answered"},
        {request_state::abandoned, "abandoned"},
    });
static_assert(is_ordered<request_state>());

enum class request_event {
    admitted,
    refused,
    record_created,
    record_found,
    charged,
    placed,
    answer,
    attempt_failed,
    /// The attempt is unanswered after the reroute delay.
    reroute_due,
    deadline,
    /// A planned stop is over and the process ends.
    process_ends,
    caller_disconnected,
};

template <>
inline constexpr auto
    name_table<request_event> = make_name_table<request_event>({
        {request_event::admitted, "admitted"},
        {request_event::refused, "refused"},
        {request_event::record_created, "record_created"},
        {request_event::record_found, "record_found"},
        {request_event::charged, "charged"},
        {request_event::placed, "placed"},
        {request_event::answer, "answer"},
        {request_event::attempt_failed, "attempt_failed"},
        {request_event::reroute_due, "reroute_due"},
        {request_event::deadline, "deadline"},
        {request_event::process_ends, "process_ends"},
        {request_event::caller_disconnected, "caller_disconnected"},
    });
static_assert(is_ordered<request_event>());

enum class request_guard {
    needs_record,
    /// The request may be sent to another target after a failed attempt.
    may_retry,
    /// The last attempt ended with an answer that can be forwarded.
    has_answer,
    /// The unanswered attempt may be replaced by one at another target.
    may_reroute,
    /// The attempt may have run the request, which must not run twice.
    must_complete,
};

template <>
inline constexpr auto
    name_table<request_guard> = make_name_table<request_guard>({
        {request_guard::needs_record, "needs_record"},
        {request_guard::may_retry, "may_retry"},
        {request_guard::has_answer, "has_answer"},
        {request_guard::may_reroute, "may_reroute"},
        {request_guard::must_complete, "must_complete"},
    });
static_assert(is_ordered<request_guard>());

enum class request_action {
    create_record,
    charge_rate,
    request_placement,
    send,
    /// Sends to the target that the reroute has reserved.
    send_to_reserved,
    /// Checks later whether a reroute is possible.
    schedule_reroute,
    cancel_attempt,
    leave_queue,
    refund_charge,
    finish_record,
    answer_upstream,
    answer_recorded,
    answer_refusal,
    answer_deadline,
    answer_stopping,
};

template <>
inline constexpr auto
    name_table<request_action> = make_name_table<request_action>({
        {request_action::create_record, "create_record"},
        {request_action::charge_rate, "charge_rate"},
        {request_action::request_placement, "request_placement"},
        {request_action::send, "send"},
        {request_action::send_to_reserved, "send_to_reserved"},
        {request_action::schedule_reroute, "schedule_reroute"},
        {request_action::cancel_attempt, "cancel_attempt"},
        {request_action::leave_queue, "leave_queue"},
        {request_action::refund_charge, "refund_charge"},
        {request_action::finish_record, "finish_record"},
        {request_action::answer_upstream, "answer_upstream"},
        {request_action::answer_recorded, "answer_recorded"},
        {request_action::answer_refusal, "answer_refusal"},
        {request_action::answer_deadline, "answer_deadline"},
        {request_action::answer_stopping, "answer_stopping"},
    });
static_assert(is_ordered<request_action>());

/// The name tables that charts/request.jsonc is bound to.
struct request_chart
{
    using state_type = request_state;
    using event_type = request_event;
    using guard_type = request_guard;
    using action_type = request_action;
};

} // namespace pomelohinge

#endif
