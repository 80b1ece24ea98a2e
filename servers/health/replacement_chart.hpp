#ifndef POMELOHINGE_SERVERS_HEALTH_REPLACEMENT_CHART_HPP
#define POMELOHINGE_SERVERS_HEALTH_REPLACEMENT_CHART_HPP

#include "core/name_table.hpp"

/// Names of the states, events, guards and actions in charts/replacement.jsonc.
namespace pomelohinge {

enum class replacement_state {
    none,
    /// Another target answers at the address; the target gets no requests.
    replaced,
    /// The target gets one request at a time.
    on_trial,
};

template <>
inline constexpr auto
    name_table<replacement_state> = make_name_table<replacement_state>({
        {replacement_state::none, "none"},
        {replacement_state::replaced, "replaced"},
        {replacement_state::on_trial, "on_trial"},
    });
static_assert(is_ordered<replacement_state>());

enum class replacement_event {
    /// Another target has answered at the address.
    misdirected,
    /// The target itself has answered.
    answered,
    /// The record of the target has another address.
    moved,
    /// Fired periodically.
    rested,
};

template <>
inline constexpr auto
    name_table<replacement_event> = make_name_table<replacement_event>({
        {replacement_event::misdirected, "misdirected"},
        {replacement_event::answered, "answered"},
        {replacement_event::moved, "moved"},
        {replacement_event::rested, "rested"},
    });
static_assert(is_ordered<replacement_event>());

enum class replacement_guard { is_trial_due };

template <>
inline constexpr auto
    name_table<replacement_guard> = make_name_table<replacement_guard>({
        {replacement_guard::is_trial_due, "is_trial_due"},
    });
static_assert(is_ordered<replacement_guard>());

enum class replacement_action {
    /// Sets the time of the next trial; the delay doubles from trial to trial.
    schedule_trial,
    reset_delay,
};

template <>
inline constexpr auto
    name_table<replacement_action> = make_name_table<replacement_action>({
        {replacement_action::schedule_trial, "schedule_trial"},
        {replacement_action::reset_delay, "reset_delay"},
    });
static_assert(is_ordered<replacement_action>());

/// The name tables that charts/replacement.jsonc is bound to.
struct replacement_chart
{
    using state_type = replacement_state;
    using event_type = replacement_event;
    using guard_type = replacement_guard;
    using action_type = replacement_action;
};

} // namespace pomelohinge

#endif
