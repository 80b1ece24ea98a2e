#ifndef POMELOHINGE_SERVERS_IDEMPOTENCY_RECORD_TABLE_HPP
#define POMELOHINGE_SERVERS_IDEMPOTENCY_RECORD_TABLE_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"
#include "servers/poison/poison_guard.hpp"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace pomelohinge {

/// How long a record is kept after its last change.
inline constexpr duration record_retention = std::chrono::hours(1);

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

/// One record.
struct idempotency_record
{
    std::string organisation;
    std::string repeat_key;
    fingerprint print = 0;
    record_state state = record_state::started;
    recorded_answer answer;
    /// Rises with each change; the higher one wins between owners.
    std::uint64_t revision = 1;
    /// When a started record counts as unknown: its run has ended by then.
    duration run_limit{};
};

/// What a request with an `Idempotency-Key` may do.
enum class record_verdict {
    /// The record was written; the request may run.
    proceed,
    running,
    done,
    unknown,
    /// The key was used for another request.
    differs,
    /// No room for a further record.
    full,
};

template <>
inline constexpr auto
    name_table<record_verdict> = make_name_table<record_verdict>({
        {record_verdict::proceed, "proceed"},
        {record_verdict::running, "running"},
        {record_verdict::done, "done"},
        {record_verdict::unknown, "unknown"},
        {record_verdict::differs, "differs"},
        {record_verdict::full, "full"},
    });
static_assert(is_ordered<record_verdict>());

/// The records that one VM keeps as owner or backup of organisations.
class record_table
{
public:
    /// Writes the record of a request unless there is one.
    record_verdict begin(idempotency_record const& record, time_point now);

    /// Records the answer of a run.
    void finish(std::string const& organisation, std::string const& repeat_key,
        recorded_answer answer, time_point now);

    /// Records that a run's answer was lost.
    void lose(std::string const& organisation, std::string const& repeat_key,
        time_point now);

    /// Removes the record of a request that has not run.
    void withdraw(
        std::string const& organisation, std::string const& repeat_key);

    /// Takes the copy of another VM's record if it is newer.
    void merge(idempotency_record const& copy, time_point now);

    /// The record, or null.
    idempotency_record const* find(
        std::string const& organisation, std::string const& repeat_key) const;

    /// All records of `organisation`, to hand to a new owner or backup.
    std::vector<idempotency_record> of(std::string const& organisation) const;

    /// The organisations that have records.
    std::vector<std::string> organisations() const;

    /// Drops old records and ends started ones whose run must be over.
    void expire(time_point now);

    std::size_t size() const { return records_.size(); }

private:
    struct held_record
    {
        idempotency_record record;
        time_point changed_at;
    };

    using record_key = std::pair<std::string, std::string>;

    absl::flat_hash_map<record_key, held_record> records_;
    std::size_t answer_bytes_ = 0;
};

} // namespace pomelohinge

#endif
