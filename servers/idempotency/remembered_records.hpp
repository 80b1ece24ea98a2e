#ifndef POMELOHINGE_SERVERS_IDEMPOTENCY_REMEMBERED_RECORDS_HPP
#define POMELOHINGE_SERVERS_IDEMPOTENCY_REMEMBERED_RECORDS_HPP

#include "servers/idempotency/record.hpp"
#include "servers/targets/store_era.hpp"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace pomelohinge {

/// Idempotency records in a store that may be restored from an older copy.
/// What this VM has written within `memory_time` it writes again in a new era.
/// Until the others have had time to do so, no request is accepted as new.
/// Nothing is remembered while the store does not tell its era.
template <class Records>
class remembered_records
{
public:
    remembered_records(Records& records, std::function<time_point()> now)
        : records_(records), now_(std::move(now))
    {
    }

    /// Sets the era that the control thread has read the store in. Has to be
    /// called before the first request.
    void set_era(store_era const& era)
    {
        if (era_ == 0 && era.number > 0) {
            era_ = era.number;
            if (!era.is_settled)
                settles_at_ = now_() + era_tracker::settling_time;
            return;
        }
        note_era(era.number);
    }

    void create(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        records_.create(record,
            [this, requested_at = now_(), done = std::move(done)](
                record_outcome outcome, idempotency_record found) {
                note_era(records_.era());
                if (outcome == record_outcome::accepted)
                    outcome = accept(found, requested_at);
                done(outcome, std::move(found));
            });
    }

    void write(idempotency_record record)
    {
        adopt_version(record);
        remember(record);
        records_.write(record);
    }

    void remove(idempotency_record record)
    {
        adopt_version(record);
        held_.erase(key_of(record));
        records_.remove(record);
    }

    /// Forgets old records, and writes those again that the store has lost and
    /// did not take yet.
    void tick()
    {
        auto const now = now_();
        std::erase_if(held_, [&](auto const& it) {
            return now - it.second.written_at > memory_time;
        });
        for (auto const& it : std::exchange(lost_, {}))
            restore(it);
    }

private:
    /// More than the age of the copies that a store is restored from.
    static constexpr duration memory_time = std::chrono::seconds(60);

    /// Of a larger answer only the fact that the request has run is kept.
    static constexpr std::size_t max_remembered_answer_bytes = 4 << 10;

    using key = std::pair<std::string, std::string>;

    struct held_record
    {
        idempotency_record record;
        time_point written_at{};
    };

    static key key_of(idempotency_record const& record)
    {
        return {record.organisation, record.idempotency_key};
    }

    /// Decides on a request whose record the store has just created. `found` is
    /// that record, and is replaced by an earlier one that the store has lost.
    record_outcome accept(idempotency_record& found, time_point requested_at)
    {
        auto const it = held_.find(key_of(found));
        if (it != held_.end()) {
            auto& held = it->second.record;
            held.version = found.version;
            found = held;
            records_.write(held);
            return record_outcome::running;
        }
        // Another VM may have run the request, and writes its record again.
        if (requested_at < settles_at_) {
            records_.remove(found);
            return record_outcome::unavailable;
        }
        remember(found);
        return record_outcome::accepted;
    }

    void remember(idempotency_record record)
    {
        if (era_ == 0)
            return;
        if (record.answer.body.size() > max_remembered_answer_bytes) {
            record.state = record_state::unknown;
            record.answer = {};
        }
        auto const name = key_of(record);
        held_[name] = {std::move(record), now_()};
    }

    /// The version changes when the record is written again in a new era.
    void adopt_version(idempotency_record& record) const
    {
        auto const it = held_.find(key_of(record));
        if (it != held_.end() && it->second.record.writer == record.writer)
            record.version = it->second.record.version;
    }

    void note_era(std::uint64_t number)
    {
        if (number <= era_)
            return;
        bool const is_first = era_ == 0;
        era_ = number;
        if (is_first)
            return;
        settles_at_ = now_() + era_tracker::settling_time;
        for (auto const& [it, held] : held_)
            lost_.insert(it);
        for (auto const& it : std::exchange(lost_, {}))
            restore(it);
    }

    /// Writes a record again.
    void restore(key const& name)
    {
        auto const it = held_.find(name);
        if (it == held_.end())
            return;
        records_.create(it->second.record,
            [this, name](record_outcome outcome, idempotency_record found) {
                auto const existing = held_.find(name);
                if (existing == held_.end())
                    return;
                auto& held = existing->second.record;
                bool const is_own = found.writer == held.writer;
                if (outcome == record_outcome::accepted ||
                    (outcome == record_outcome::running && is_own)) {
                    held.version = found.version;
                    // The store has the state from before the answer, or the
                    // answer has come during this call.
                    if (found.state == record_state::started &&
                        held.state != record_state::started)
                        records_.write(held);
                    return;
                }
                // A record of a repeat is removed by the VM that refuses it.
                lost_.insert(name);
            });
    }

    Records& records_;
    std::function<time_point()> now_;
    std::uint64_t era_ = 0;
    /// Until then others may not have written their records again.
    time_point settles_at_{};
    std::map<key, held_record> held_;
    /// Records that the store may have lost.
    std::set<key> lost_;
};

} // namespace pomelohinge

#endif
