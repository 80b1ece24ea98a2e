#ifndef POMELOHINGE_CORE_LOG_EVENT_HPP
#define POMELOHINGE_CORE_LOG_EVENT_HPP

#include "core/name_table.hpp"

namespace pomelohinge {

/// How serious an event is.
enum class log_level { debug, info, warning, error };

template <>
inline constexpr auto name_table<log_level> = make_name_table<log_level>({
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
});
static_assert(is_ordered<log_level>());

/// Everything that is logged. docs/EVENTS.md is the catalogue.
enum class log_event {
    started,
    stopping,
    stopped,
    invariant_violated,
    front_listening,
    request_refused,
    configuration_applied,
    configuration_entry_refused,
    store_unreachable,
    store_reached,
    view_changed,
    view_write_failed,
    vm_suspected,
    freshness_lost,
    target_state_changed,
    ejection_refused,
    store_write_uncertain,
};

template <>
inline constexpr auto name_table<log_event> = make_name_table<log_event>({
    {log_event::started, "started"},
    {log_event::stopping, "stopping"},
    {log_event::stopped, "stopped"},
    {log_event::invariant_violated, "invariant_violated"},
    {log_event::front_listening, "front_listening"},
    {log_event::request_refused, "request_refused"},
    {log_event::configuration_applied, "configuration_applied"},
    {log_event::configuration_entry_refused, "configuration_entry_refused"},
    {log_event::store_unreachable, "store_unreachable"},
    {log_event::store_reached, "store_reached"},
    {log_event::view_changed, "view_changed"},
    {log_event::view_write_failed, "view_write_failed"},
    {log_event::vm_suspected, "vm_suspected"},
    {log_event::freshness_lost, "freshness_lost"},
    {log_event::target_state_changed, "target_state_changed"},
    {log_event::ejection_refused, "ejection_refused"},
    {log_event::store_write_uncertain, "store_write_uncertain"},
});
static_assert(is_ordered<log_event>());

/// The catalogue's number and level of an event.
struct log_event_row
{
    log_event event;
    int number;
    log_level level;
};

inline constexpr log_event_row log_catalogue[] = {
    {log_event::started, 100, log_level::info},
    {log_event::stopping, 101, log_level::info},
    {log_event::stopped, 102, log_level::info},
    {log_event::invariant_violated, 120, log_level::error},
    {log_event::front_listening, 200, log_level::info},
    {log_event::request_refused, 201, log_level::debug},
    {log_event::configuration_applied, 300, log_level::info},
    {log_event::configuration_entry_refused, 301, log_level::error},
    {log_event::store_unreachable, 400, log_level::warning},
    {log_event::store_reached, 401, log_level::info},
    {log_event::view_changed, 500, log_level::info},
    {log_event::view_write_failed, 501, log_level::warning},
    {log_event::vm_suspected, 502, log_level::warning},
    {log_event::freshness_lost, 503, log_level::warning},
    {log_event::target_state_changed, 600, log_level::warning},
    {log_event::ejection_refused, 601, log_level::warning},
    {log_event::store_write_uncertain, 402, log_level::warning},
};

/// The catalogue row of `event`.
constexpr log_event_row const& catalogue_row(log_event event)
{
    return log_catalogue[index_of(event)];
}

} // namespace pomelohinge

#endif
