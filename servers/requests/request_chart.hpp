#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_CHART_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_CHART_HPP

#include "core/name_table.hpp"

/// The names that charts/request.jsonc may use.
namespace pomelohinge {

enum class request_state {
    received,
    recording,
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
        {request_state::recording, "recording"},
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
    record_begun,
    record_found,
    charged,
    placed,
    answer,
    failed,
    impatient,
    deadline,
    caller_disconnected,
};

template <>
inline constexpr auto
    name_table<request_event> = make_name_table<request_event>({
        {request_event::admitted, "admitted"},
        {request_event::refused, "refused"},
        {request_event::record_begun, "record_begun"},
        {request_event::record_found, "record_found"},
        {request_event::charged, "charged"},
        {request_event::placed, "placed"},
        {request_event::answer, "answer"},
        {request_event::failed, "failed"},
        {request_event::impatient, "impatient"},
        {request_event::deadline, "deadline"},
        {request_event::caller_disconnected, "caller_disconnected"},
    });
static_assert(is_ordered<request_event>());

enum class request_guard {
    has_repeat_key,
    may_retry,
    /// The last attempt brought an answer that can be passed on.
    has_answer,
    may_move,
};

template <>
inline constexpr auto
    name_table<request_guard> = make_name_table<request_guard>({
        {request_guard::has_repeat_key, "has_repeat_key"},
        {request_guard::may_retry, "may_retry"},
        {request_guard::has_answer, "has_answer"},
        {request_guard::may_move, "may_move"},
    });
static_assert(is_ordered<request_guard>());

enum class request_action {
    ask_record,
    ask_charge,
    ask_place,
    send,
    cancel_attempt,
    leave_line,
    refund_charge,
    finish_record,
    answer_upstream,
    answer_recorded,
    answer_refusal,
    answer_deadline,
};

template <>
inline constexpr auto
    name_table<request_action> = make_name_table<request_action>({
        {request_action::ask_record, "ask_record"},
        {request_action::ask_charge, "ask_charge"},
        {request_action::ask_place, "ask_place"},
        {request_action::send, "send"},
        {request_action::cancel_attempt, "cancel_attempt"},
        {request_action::leave_line, "leave_line"},
        {request_action::refund_charge, "refund_charge"},
        {request_action::finish_record, "finish_record"},
        {request_action::answer_upstream, "answer_upstream"},
        {request_action::answer_recorded, "answer_recorded"},
        {request_action::answer_refusal, "answer_refusal"},
        {request_action::answer_deadline, "answer_deadline"},
    });
static_assert(is_ordered<request_action>());

/// Binds charts/request.jsonc to its names.
struct request_chart
{
    using state_type = request_state;
    using event_type = request_event;
    using guard_type = request_guard;
    using action_type = request_action;
};

} // namespace pomelohinge

#endif
