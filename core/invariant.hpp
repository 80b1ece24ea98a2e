#ifndef POMELOHINGE_CORE_INVARIANT_HPP
#define POMELOHINGE_CORE_INVARIANT_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <string_view>

namespace pomelohinge {

/// What must hold whatever fails. The decision code asserts these where it
/// acts; each violation is counted, logged and fails the run that saw it.
enum class invariant {
    slots_never_exceeded,
    cold_limit_never_exceeded,
    ejection_keeps_floor,
    rate_never_exceeded,
    closed_target_gets_no_work,
    configuration_never_reverts,
    answer_belongs_to_request,
    not_run_is_true,
    non_idempotent_runs_once,
    withdrawn_key_stops,
};

template <>
inline constexpr auto name_table<invariant> = make_name_table<invariant>({
    {invariant::slots_never_exceeded, "slots_never_exceeded"},
    {invariant::cold_limit_never_exceeded, "cold_limit_never_exceeded"},
    {invariant::ejection_keeps_floor, "ejection_keeps_floor"},
    {invariant::rate_never_exceeded, "rate_never_exceeded"},
    {invariant::closed_target_gets_no_work, "closed_target_gets_no_work"},
    {invariant::configuration_never_reverts, "configuration_never_reverts"},
    {invariant::answer_belongs_to_request, "answer_belongs_to_request"},
    {invariant::not_run_is_true, "not_run_is_true"},
    {invariant::non_idempotent_runs_once, "non_idempotent_runs_once"},
    {invariant::withdrawn_key_stops, "withdrawn_key_stops"},
});
static_assert(is_ordered<invariant>());

/// Counts a violation if `holds` is false. Returns `holds`.
bool check_invariant(invariant which, bool holds, std::string_view detail = {});

/// Violations of `which` since the process started.
std::uint64_t invariant_violations(invariant which);

/// Violations of all invariants since the process started.
std::uint64_t invariant_violations();

} // namespace pomelohinge

#endif
