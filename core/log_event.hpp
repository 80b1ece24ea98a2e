#ifndef POMELOHINGE_CORE_LOG_EVENT_HPP
#define POMELOHINGE_CORE_LOG_EVENT_HPP

#include "core/name_table.hpp"

namespace pomelohinge {

/// Severity of a log event.
enum class log_level { debug, info, warning, error };

template <>
inline constexpr auto name_table<log_level> = make_name_table<log_level>({
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
});
static_assert(is_ordered<log_level>());

/// All events that can be logged; docs/EVENTS.md describes them. Event numbers
/// are in `log_catalogue`.
enum class log_event {
    control_started,
    started,
    stopping,
    stopped,
    settings_reloaded,
    settings_refused,
    address_awaited,
    address_free,
    address_refused,
    settings_adjusted,
    stop_step_expired,
    lines_dropped,
    exception_uncaught,
    start_failed,
    invariant_violated,
    front_listening,
    request_refused,
    request_sent,
    rate_used_up,
    attempt_ended,
    request_answered,
    buffers_full,
    accept_failed,
    connections_limited,
    answer_skipped,
    store_list_refused,
    store_era_changed,
    http_answer_too_large,
    http_socket_refused,
    configuration_applied,
    configuration_unreadable,
    configuration_stale,
    targets_changed,
    closures_changed,
    object_unreadable,
    object_values_invalid,
    store_reading,
    store_unreachable,
    store_reached,
    store_write_uncertain,
    record_not_written,
    hub_chosen,
    hub_unreachable,
    entries_chosen,
    vm_removed,
    registration_failed,
    hub_returned,
    peer_messages_refused,
    peer_reply_unreadable,
    transfer_changed,
    target_state_changed,
    target_path_changed,
    target_leaving,
    target_paused,
    target_notice_unreadable,
    target_replaced,
    rollout_ordered,
    rollout_state_changed,
    rollout_not_written,
};

template <>
inline constexpr auto name_table<log_event> = make_name_table<log_event>({
    {log_event::control_started, "control_started"},
    {log_event::started, "started"},
    {log_event::stopping, "stopping"},
    {log_event::stopped, "stopped"},
    {log_event::settings_reloaded, "settings_reloaded"},
    {log_event::settings_refused, "settings_refused"},
    {log_event::address_awaited, "address_awaited"},
    {log_event::address_free, "address_free"},
    {log_event::address_refused, "address_refused"},
    {log_event::settings_adjusted, "settings_adjusted"},
    {log_event::stop_step_expired, "stop_step_expired"},
    {log_event::lines_dropped, "lines_dropped"},
    {log_event::exception_uncaught, "exception_uncaught"},
    {log_event::start_failed, "start_failed"},
    {log_event::invariant_violated, "invariant_violated"},
    {log_event::front_listening, "front_listening"},
    {log_event::request_refused, "request_refused"},
    {log_event::request_sent, "request_sent"},
    {log_event::rate_used_up, "rate_used_up"},
    {log_event::attempt_ended, "attempt_ended"},
    {log_event::request_answered, "request_answered"},
    {log_event::buffers_full, "buffers_full"},
    {log_event::accept_failed, "accept_failed"},
    {log_event::connections_limited, "connections_limited"},
    {log_event::answer_skipped, "answer_skipped"},
    {log_event::store_list_refused, "store_list_refused"},
    {log_event::store_era_changed, "store_era_changed"},
    {log_event::http_answer_too_large, "http_answer_too_large"},
    {log_event::http_socket_refused, "http_socket_refused"},
    {log_event::configuration_applied, "configuration_applied"},
    {log_event::configuration_unreadable, "configuration_unreadable"},
    {log_event::configuration_stale, "configuration_stale"},
    {log_event::targets_changed, "targets_changed"},
    {log_event::closures_changed, "closures_changed"},
    {log_event::object_unreadable, "object_unreadable"},
    {log_event::object_values_invalid, "object_values_invalid"},
    {log_event::store_reading, "store_reading"},
    {log_event::store_unreachable, "store_unreachable"},
    {log_event::store_reached, "store_reached"},
    {log_event::store_write_uncertain, "store_write_uncertain"},
    {log_event::record_not_written, "record_not_written"},
    {log_event::hub_chosen, "hub_chosen"},
    {log_event::hub_unreachable, "hub_unreachable"},
    {log_event::entries_chosen, "entries_chosen"},
    {log_event::vm_removed, "vm_removed"},
    {log_event::registration_failed, "registration_failed"},
    {log_event::hub_returned, "hub_returned"},
    {log_event::peer_messages_refused, "peer_messages_refused"},
    {log_event::peer_reply_unreadable, "peer_reply_unreadable"},
    {log_event::transfer_changed, "transfer_changed"},
    {log_event::target_state_changed, "target_state_changed"},
    {log_event::target_path_changed, "target_path_changed"},
    {log_event::target_leaving, "target_leaving"},
    {log_event::target_paused, "target_paused"},
    {log_event::target_notice_unreadable, "target_notice_unreadable"},
    {log_event::target_replaced, "target_replaced"},
    {log_event::rollout_ordered, "rollout_ordered"},
    {log_event::rollout_state_changed, "rollout_state_changed"},
    {log_event::rollout_not_written, "rollout_not_written"},
});
static_assert(is_ordered<log_event>());

/// Number and level of an event in the catalogue.
struct log_catalogue_entry
{
    log_event event;
    int number;
    log_level level;
};

/// The catalogue of events, in the order of the enumerators.
inline constexpr log_catalogue_entry log_catalogue[] = {
    {log_event::control_started, 99, log_level::info},
    {log_event::started, 100, log_level::info},
    {log_event::stopping, 101, log_level::info},
    {log_event::stopped, 102, log_level::info},
    {log_event::settings_reloaded, 103, log_level::info},
    {log_event::settings_refused, 104, log_level::error},
    {log_event::address_awaited, 105, log_level::warning},
    {log_event::address_free, 106, log_level::info},
    {log_event::address_refused, 107, log_level::error},
    {log_event::settings_adjusted, 108, log_level::warning},
    {log_event::stop_step_expired, 109, log_level::warning},
    {log_event::lines_dropped, 110, log_level::warning},
    {log_event::exception_uncaught, 111, log_level::error},
    {log_event::start_failed, 112, log_level::error},
    {log_event::invariant_violated, 120, log_level::error},
    {log_event::front_listening, 200, log_level::info},
    {log_event::request_refused, 201, log_level::info},
    {log_event::request_sent, 202, log_level::info},
    {log_event::rate_used_up, 205, log_level::info},
    {log_event::attempt_ended, 203, log_level::info},
    {log_event::request_answered, 204, log_level::info},
    {log_event::buffers_full, 206, log_level::warning},
    {log_event::accept_failed, 207, log_level::warning},
    {log_event::connections_limited, 208, log_level::warning},
    {log_event::answer_skipped, 209, log_level::warning},
    {log_event::store_list_refused, 220, log_level::warning},
    {log_event::store_era_changed, 405, log_level::info},
    {log_event::http_answer_too_large, 221, log_level::warning},
    {log_event::http_socket_refused, 222, log_level::warning},
    {log_event::configuration_applied, 300, log_level::info},
    {log_event::configuration_unreadable, 301, log_level::error},
    {log_event::configuration_stale, 302, log_level::warning},
    {log_event::targets_changed, 310, log_level::info},
    {log_event::closures_changed, 311, log_level::info},
    {log_event::object_unreadable, 312, log_level::warning},
    {log_event::object_values_invalid, 313, log_level::warning},
    {log_event::store_reading, 404, log_level::info},
    {log_event::store_unreachable, 400, log_level::warning},
    {log_event::store_reached, 401, log_level::info},
    {log_event::store_write_uncertain, 402, log_level::warning},
    {log_event::record_not_written, 403, log_level::warning},
    {log_event::hub_chosen, 500, log_level::info},
    {log_event::hub_unreachable, 501, log_level::warning},
    {log_event::entries_chosen, 502, log_level::info},
    {log_event::vm_removed, 503, log_level::info},
    {log_event::registration_failed, 504, log_level::warning},
    {log_event::hub_returned, 505, log_level::info},
    {log_event::peer_messages_refused, 506, log_level::warning},
    {log_event::peer_reply_unreadable, 507, log_level::warning},
    {log_event::transfer_changed, 520, log_level::info},
    {log_event::target_state_changed, 600, log_level::warning},
    {log_event::target_path_changed, 601, log_level::warning},
    {log_event::target_leaving, 602, log_level::info},
    {log_event::target_paused, 603, log_level::info},
    {log_event::target_notice_unreadable, 604, log_level::warning},
    {log_event::target_replaced, 605, log_level::warning},
    {log_event::rollout_ordered, 700, log_level::info},
    {log_event::rollout_state_changed, 701, log_level::info},
    {log_event::rollout_not_written, 702, log_level::warning},
};

/// Returns the catalogue entry of `event`.
constexpr log_catalogue_entry const& catalogue_entry(log_event event)
{
    return log_catalogue[index_of(event)];
}

} // namespace pomelohinge

#endif
