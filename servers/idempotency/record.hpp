#ifndef POMELOHINGE_SERVERS_IDEMPOTENCY_RECORD_HPP
#define POMELOHINGE_SERVERS_IDEMPOTENCY_RECORD_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"
#include "servers/poison/poison_guard.hpp"

#include <string>

namespace pomelohinge {

/// State of the single run of a request with an `Idempotency-Key`.
enum class record_state {
    /// The request may be running.
    started,
    /// The request has run and its answer is stored.
    done,
    /// The request may have run; its answer is not available.
    unknown,
};

template <>
inline constexpr auto name_table<record_state> = make_name_table<record_state>({
    {record_state::started, "started"},
    {record_state::done, "done"},
    {record_state::unknown, "unknown"},
});
static_assert(is_ordered<record_state>());

/// An answer as stored in an idempotency record.
struct recorded_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// An idempotency record, stored as an object in the platform's store. It is
/// created before the request runs. Of concurrent requests with the same key
/// only one succeeds in creating it.
struct idempotency_record
{
    std::string organisation;
    std::string idempotency_key;
    fingerprint request_fingerprint = 0;
    /// Random number of the request that created the record, which tells a
    /// record that is read back from one that an equal request has created.
    std::uint64_t writer = 0;
    record_state state = record_state::started;
    recorded_answer answer;
    /// Unix time in milliseconds from which on a started record counts as
    /// unknown, because the run has ended by then.
    std::int64_t ends_at_ms = 0;
    /// Version of the stored object.
    std::uint64_t version = 0;
};

/// Result of an operation on an idempotency record.
enum class record_outcome {
    /// The record was created; the request may run.
    accepted,
    /// The first request with the key is still running.
    running,
    /// The answer of the first request is stored.
    done,
    /// The first request may have run; its answer is not available, or its
    /// record cannot be read.
    unknown,
    /// The key was used for a different request.
    differs,
    /// The store does not answer, so the first request with the key may have
    /// run.
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

/// Determines the outcome of a repeated request from the existing record.
record_outcome evaluate_record(idempotency_record const& found,
    fingerprint repeated_fingerprint, std::int64_t unix_now_ms);

/// Maximum size in bytes of the body of a stored answer. The record of a
/// request with a larger answer gets the state `unknown`.
inline constexpr std::size_t max_recorded_answer_bytes = 64 << 10;

} // namespace pomelohinge

#endif
