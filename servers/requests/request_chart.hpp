#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_CHART_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_CHART_HPP

#include "core/name_table.hpp"

/// The names that charts/request.jsonc may use.
namespace pomelohinge {

enum class request_state {
    received,
    recording,
    charging,
    choosing,
    dispatched,
    answered,
    abandoned,
};

template <>
inline constexpr auto
    name_table<request_state> = make_name_table<request_state>({
        {request_state::received, "received"},
        {request_state::recording, "recording"},
        {request_state::charging, "charging"},
        {request_state::choosing, "choosing"},
        {request_state::dispatched, "dispatched"},
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
    chosen,
    answer,
    failed,
    deadline,
    caller_gone,
};

template <>
inline constexpr auto
    name_table<request_event> = make_name_table<request_event>({
        {request_event::admitted, "admitted"},
        {request_event::refused, "refused"},
        {request_event::record_begun, "record_begun"},
        {request_event::record_found, "record_found"},
        {request_event::charged, "charged"},
        {request_event::chosen, "chosen"},
        {request_event::answer, "answer"},
        {request_event::failed, "failed"},
        {request_event::deadline, "deadline"},
        {request_event::caller_gone, "caller_gone"},
    });
static_assert(is_ordered<request_event>());

enum class request_guard {
    has_repeat_key,
    is_open,
    may_retry_on_trial,
    may_retry
};

template <>
inline constexpr auto
    name_table<request_guard> = make_name_table<request_guard>({
        {request_guard::has_repeat_key, "has_repeat_key"},
        {request_guard::is_open, "is_open"},
        {request_guard::may_retry_on_trial, "may_retry_on_trial"},
        {request_guard::may_retry, "may_retry"},
    });
static_assert(is_ordered<request_guard>());

enum class request_action {
    ask_record,
    ask_charge,
    ask_trial,
    choose_target,
    send_to_owner,
    cancel_dispatch,
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
        {request_action::ask_trial, "ask_trial"},
        {request_action::choose_target, "choose_target"},
        {request_action::send_to_owner, "send_to_owner"},
        {request_action::cancel_dispatch, "cancel_dispatch"},
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
