#ifndef POMELOHINGE_SERVERS_HEALTH_PAUSE_CHART_HPP
#define POMELOHINGE_SERVERS_HEALTH_PAUSE_CHART_HPP

#include "core/name_table.hpp"

/// Names of the states, events and guards in charts/pause.jsonc.
namespace pomelohinge {

enum class pause_state {
    none,
    /// The target gets no requests.
    paused,
    /// The pause is over; the target gets one request at a time.
    resuming,
};

template <>
inline constexpr auto name_table<pause_state> = make_name_table<pause_state>({
    {pause_state::none, "none"},
    {pause_state::paused, "paused"},
    {pause_state::resuming, "resuming"},
});
static_assert(is_ordered<pause_state>());

enum class pause_event {
    /// An answer asks for a pause.
    asked,
    /// An answer does not ask for a pause.
    answered,
    /// Fired periodically.
    rested,
};

template <>
inline constexpr auto name_table<pause_event> = make_name_table<pause_event>({
    {pause_event::asked, "asked"},
    {pause_event::answered, "answered"},
    {pause_event::rested, "rested"},
});
static_assert(is_ordered<pause_event>());

enum class pause_guard { is_over };

template <>
inline constexpr auto name_table<pause_guard> = make_name_table<pause_guard>({
    {pause_guard::is_over, "is_over"},
});
static_assert(is_ordered<pause_guard>());

/// The chart has no actions.
enum class pause_action { none };

template <>
inline constexpr auto name_table<pause_action> = make_name_table<pause_action>({
    {pause_action::none, "none"},
});
static_assert(is_ordered<pause_action>());

/// The name tables that charts/pause.jsonc is bound to.
struct pause_chart
{
    using state_type = pause_state;
    using event_type = pause_event;
    using guard_type = pause_guard;
    using action_type = pause_action;
};

} // namespace pomelohinge

#endif
