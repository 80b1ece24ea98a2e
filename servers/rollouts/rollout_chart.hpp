#ifndef POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_CHART_HPP
#define POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_CHART_HPP

#include "core/name_table.hpp"

/// Names of the states, events, guards and actions in charts/rollout.jsonc.
namespace pomelohinge {

enum class rollout_state {
    /// Read from the store; its targets get nothing yet.
    ordered,
    /// Few targets get a small share of the requests.
    canary,
    /// Judged good: the new version gets all new requests.
    switching,
    /// Judged bad, or out of time: the new version gets nothing.
    rolling_back,
    /// The store says so; the old targets have stopped.
    succeeded,
    /// The store says so; the new targets stop.
    rolled_back,
};

template <>
inline constexpr auto
    name_table<rollout_state> = make_name_table<rollout_state>({
        {rollout_state::ordered, "ordered"},
        {rollout_state::canary, "canary"},
        {rollout_state::switching, "switching"},
        {rollout_state::rolling_back, "rolling_back"},
        {rollout_state::succeeded, "succeeded"},
        {rollout_state::rolled_back, "rolled_back"},
    });
static_assert(is_ordered<rollout_state>());

constexpr bool is_final(rollout_state it)
{
    return it == rollout_state::succeeded || it == rollout_state::rolled_back;
}

enum class rollout_event {
    /// The store holds the status that the rollout runs.
    running_recorded,
    success_recorded,
    rollback_recorded,
    /// The evidence shows that the version is bad.
    judged_bad,
    /// Little time is left: the load has to move to the new version.
    switch_due,
    deadline_passed,
};

template <>
inline constexpr auto
    name_table<rollout_event> = make_name_table<rollout_event>({
        {rollout_event::running_recorded, "running_recorded"},
        {rollout_event::success_recorded, "success_recorded"},
        {rollout_event::rollback_recorded, "rollback_recorded"},
        {rollout_event::judged_bad, "judged_bad"},
        {rollout_event::switch_due, "switch_due"},
        {rollout_event::deadline_passed, "deadline_passed"},
    });
static_assert(is_ordered<rollout_event>());

enum class rollout_guard {
    /// The version has answered well, and its targets bear the whole load.
    is_proven,
};

template <>
inline constexpr auto
    name_table<rollout_guard> = make_name_table<rollout_guard>({
        {rollout_guard::is_proven, "is_proven"},
    });
static_assert(is_ordered<rollout_guard>());

enum class rollout_action {
    /// Forget what was observed before the trial.
    restart_evidence,
    /// Record when the load moved to the new version.
    note_switch,
};

template <>
inline constexpr auto
    name_table<rollout_action> = make_name_table<rollout_action>({
        {rollout_action::restart_evidence, "restart_evidence"},
        {rollout_action::note_switch, "note_switch"},
    });
static_assert(is_ordered<rollout_action>());

/// The name tables that charts/rollout.jsonc is bound to.
struct rollout_chart
{
    using state_type = rollout_state;
    using event_type = rollout_event;
    using guard_type = rollout_guard;
    using action_type = rollout_action;
};

} // namespace pomelohinge

#endif
