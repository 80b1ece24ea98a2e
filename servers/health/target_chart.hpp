#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_CHART_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_CHART_HPP

#include "core/name_table.hpp"

/// The names that charts/target.jsonc may use.
namespace pomelohinge {

enum class target_state {
    cold,
    warming,
    healthy,
    suspect,
    ejected,
    probing,
    draining,
    gone,
};

template <>
inline constexpr auto name_table<target_state> = make_name_table<target_state>({
    {target_state::cold, "cold"},
    {target_state::warming, "warming"},
    {target_state::healthy, "healthy"},
    {target_state::suspect, "suspect"},
    {target_state::ejected, "ejected"},
    {target_state::probing, "probing"},
    {target_state::draining, "draining"},
    {target_state::gone, "gone"},
});
static_assert(is_ordered<target_state>());

enum class target_event {
    admitted,
    step_earned,
    shed,
    condemned,
    ejection_granted,
    ejection_refused,
    grant_missing,
    probation_over,
    probe_passed,
    drain,
    undrain,
    removed,
};

template <>
inline constexpr auto name_table<target_event> = make_name_table<target_event>({
    {target_event::admitted, "admitted"},
    {target_event::step_earned, "step_earned"},
    {target_event::shed, "shed"},
    {target_event::condemned, "condemned"},
    {target_event::ejection_granted, "ejection_granted"},
    {target_event::ejection_refused, "ejection_refused"},
    {target_event::grant_missing, "grant_missing"},
    {target_event::probation_over, "probation_over"},
    {target_event::probe_passed, "probe_passed"},
    {target_event::drain, "drain"},
    {target_event::undrain, "undrain"},
    {target_event::removed, "removed"},
});
static_assert(is_ordered<target_event>());

enum class target_guard { ramp_complete };

template <>
inline constexpr auto name_table<target_guard> = make_name_table<target_guard>({
    {target_guard::ramp_complete, "ramp_complete"},
});
static_assert(is_ordered<target_guard>());

enum class target_action {
    start_ramp,
    step_up,
    step_down,
    open_fully,
    open_for_probe,
    close,
    ask_ejection,
    clear_evidence,
    distrust,
    lengthen_probation,
    return_capacity,
};

template <>
inline constexpr auto
    name_table<target_action> = make_name_table<target_action>({
        {target_action::start_ramp, "start_ramp"},
        {target_action::step_up, "step_up"},
        {target_action::step_down, "step_down"},
        {target_action::open_fully, "open_fully"},
        {target_action::open_for_probe, "open_for_probe"},
        {target_action::close, "close"},
        {target_action::ask_ejection, "ask_ejection"},
        {target_action::clear_evidence, "clear_evidence"},
        {target_action::distrust, "distrust"},
        {target_action::lengthen_probation, "lengthen_probation"},
        {target_action::return_capacity, "return_capacity"},
    });
static_assert(is_ordered<target_action>());

/// Binds charts/target.jsonc to its names.
struct target_chart
{
    using state_type = target_state;
    using event_type = target_event;
    using guard_type = target_guard;
    using action_type = target_action;
};

} // namespace pomelohinge

#endif
