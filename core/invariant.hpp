#ifndef POMELOHINGE_CORE_INVARIANT_HPP
#define POMELOHINGE_CORE_INVARIANT_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <string_view>

namespace pomelohinge {

/// Conditions that must hold under any failure. They are checked where the
/// corresponding decision is made. Each violation is counted and logged; the
/// process goes on, but its exit status reports the violation.
enum class invariant {
    slots_never_exceeded,
    cold_limit_never_exceeded,
    ejection_keeps_floor,
    rate_never_exceeded,
    closed_target_gets_no_work,
    paused_target_gets_no_work,
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
    {invariant::paused_target_gets_no_work, "paused_target_gets_no_work"},
    {invariant::configuration_never_reverts, "configuration_never_reverts"},
    {invariant::answer_belongs_to_request, "answer_belongs_to_request"},
    {invariant::not_run_is_true, "not_run_is_true"},
    {invariant::non_idempotent_runs_once, "non_idempotent_runs_once"},
    {invariant::withdrawn_key_stops, "withdrawn_key_stops"},
});
static_assert(is_ordered<invariant>());

/// Counts and logs a violation if `holds` is false; `detail` goes into the log
/// line. Returns `holds`. Safe to call from any thread.
bool check_invariant(invariant which, bool holds, std::string_view detail = {});

/// Number of violations of `which` since the process started.
std::uint64_t invariant_violations(invariant which);

/// Number of violations of all invariants since the process started.
std::uint64_t invariant_violations();

} // namespace pomelohinge

#endif
