#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_HUB_CANDIDATE_CHART_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_HUB_CANDIDATE_CHART_HPP

#include "core/name_table.hpp"

/// Names of the states, events and actions in charts/hub_candidate.jsonc.
namespace pomelohinge {

enum class hub_candidate_state {
    /// It has not been asked, or not since another VM failed.
    untried,
    /// It answered the last time it was asked.
    reached,
    /// It did not answer the last time it was asked, and has not since.
    unreachable,
};

template <>
inline constexpr auto
    name_table<hub_candidate_state> = make_name_table<hub_candidate_state>({
        {hub_candidate_state::untried, "untried"},
        {hub_candidate_state::reached, "reached"},
        {hub_candidate_state::unreachable, "unreachable"},
    });
static_assert(is_ordered<hub_candidate_state>());

enum class hub_candidate_event {
    answered,
    failed,
    /// It has sent a question itself.
    heard,
    /// A VM before it in the order has failed.
    doubted,
};

template <>
inline constexpr auto
    name_table<hub_candidate_event> = make_name_table<hub_candidate_event>({
        {hub_candidate_event::answered, "answered"},
        {hub_candidate_event::failed, "failed"},
        {hub_candidate_event::heard, "heard"},
        {hub_candidate_event::doubted, "doubted"},
    });
static_assert(is_ordered<hub_candidate_event>());

/// The chart has no guards.
enum class hub_candidate_guard {
    none,
};

template <>
inline constexpr auto
    name_table<hub_candidate_guard> = make_name_table<hub_candidate_guard>({
        {hub_candidate_guard::none, "none"},
    });
static_assert(is_ordered<hub_candidate_guard>());

enum class hub_candidate_action {
    /// Sets the time of the next probe; the delay doubles from one to the next.
    schedule_probe,
    /// Makes a probe due at once.
    reset_delay,
};

template <>
inline constexpr auto
    name_table<hub_candidate_action> = make_name_table<hub_candidate_action>({
        {hub_candidate_action::schedule_probe, "schedule_probe"},
        {hub_candidate_action::reset_delay, "reset_delay"},
    });
static_assert(is_ordered<hub_candidate_action>());

/// The name tables that charts/hub_candidate.jsonc is bound to.
struct hub_candidate_chart
{
    using state_type = hub_candidate_state;
    using event_type = hub_candidate_event;
    using guard_type = hub_candidate_guard;
    using action_type = hub_candidate_action;
};

} // namespace pomelohinge

#endif
