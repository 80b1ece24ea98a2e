#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_CHART_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_CHART_HPP

#include "core/name_table.hpp"

/// The names that charts/target.jsonc may use.
namespace pomelohinge {

enum class target_state {
    /// It gets any request.
    trusted,
    /// It has failed lately: it gets single requests that may be repeated.
    suspect,
    /// It gets nothing for a while.
    ejected,
};

template <>
inline constexpr auto name_table<target_state> = make_name_table<target_state>({
    {target_state::trusted, "trusted"},
    {target_state::suspect, "suspect"},
    {target_state::ejected, "ejected"},
});
static_assert(is_ordered<target_state>());

enum class target_event {
    /// A whole answer came.
    answered,
    /// An attempt failed in a way that only the target can have caused.
    faulted,
    /// An attempt was not answered; the way may be at fault.
    silent,
    /// The time in the present state is over.
    rested,
};

template <>
inline constexpr auto name_table<target_event> = make_name_table<target_event>({
    {target_event::answered, "answered"},
    {target_event::faulted, "faulted"},
    {target_event::silent, "silent"},
    {target_event::rested, "rested"},
});
static_assert(is_ordered<target_event>());

enum class target_guard {
    /// Enough answers have come since the last failure.
    is_cleared,
    /// Failures in a row leave no doubt.
    is_condemned,
};

template <>
inline constexpr auto name_table<target_guard> = make_name_table<target_guard>({
    {target_guard::is_cleared, "is_cleared"},
    {target_guard::is_condemned, "is_condemned"},
});
static_assert(is_ordered<target_guard>());

enum class target_action {
    count_answer,
    count_failure,
    clear_evidence,
    begin_rest,
};

template <>
inline constexpr auto
    name_table<target_action> = make_name_table<target_action>({
        {target_action::count_answer, "count_answer"},
        {target_action::count_failure, "count_failure"},
        {target_action::clear_evidence, "clear_evidence"},
        {target_action::begin_rest, "begin_rest"},
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
