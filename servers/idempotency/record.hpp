#ifndef POMELOHINGE_SERVERS_IDEMPOTENCY_RECORD_HPP
#define POMELOHINGE_SERVERS_IDEMPOTENCY_RECORD_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"
#include "servers/poison/poison_guard.hpp"

#include <string>

namespace pomelohinge {

/// What is known of the one run of a request with an `Idempotency-Key`.
enum class record_state {
    started,
    /// The answer is recorded.
    done,
    /// It may have run; its answer is lost.
    unknown,
};

template <>
inline constexpr auto name_table<record_state> = make_name_table<record_state>({
    {record_state::started, "started"},
    {record_state::done, "done"},
    {record_state::unknown, "unknown"},
});
static_assert(is_ordered<record_state>());

/// An answer as it is kept.
struct recorded_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// One record, an object of the platform's store. It is created before the
/// request runs; of two repeats, one creates it.
struct idempotency_record
{
    std::string organisation;
    std::string idempotency_key;
    fingerprint print = 0;
    record_state state = record_state::started;
    recorded_answer answer;
    /// Unix milliseconds after which a started record counts as unknown:
    /// its run has ended by then.
    std::int64_t ends_at_ms = 0;
    /// Version of the stored object.
    std::uint64_t version = 0;
};

/// What became of a step.
enum class record_outcome {
    accepted,
    running,
    done,
    unknown,
    /// The key was used for another request.
    differs,
    /// The store does not answer.
    unavailable,
};

template <>
inline constexpr auto
    name_table<record_outcome> = make_name_table<record_outcome>({
        {record_outcome::accepted, "accepted"},
        {record_outcome::running, "running"},
        {record_outcome::done, "done"},
        {record_outcome::unknown, "unknown"},
        {record_outcome::differs, "differs"},
        {record_outcome::unavailable, "unavailable"},
    });
static_assert(is_ordered<record_outcome>());

/// What a repeat may do, given the record that it found.
record_outcome judge_record(idempotency_record const& found,
    fingerprint repeated, std::int64_t unix_now_ms);

/// A larger answer is not kept; its record then says "unknown".
inline constexpr std::size_t largest_kept_answer = 64 << 10;

} // namespace pomelohinge

#endif
