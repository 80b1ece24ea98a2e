#include "servers/idempotency/record_table.hpp"

#include <algorithm>
#include <set>

namespace pomelohinge {
namespace {

/// Bounds of what one VM keeps.
constexpr std::size_t most_records = 50'000;
constexpr std::size_t most_answer_bytes = 16 << 20;

/// A larger answer is not kept; its record then says "unknown" to repeats.
constexpr std::size_t largest_kept_answer = 64 << 10;

record_verdict verdict_of(record_state state)
{
    switch (state) {
    case record_state::started:
        return record_verdict::running;
    case record_state::done:
        return record_verdict::done;
    case record_state::unknown:
        return record_verdict::unknown;
    }
    return record_verdict::unknown;
}

} // namespace

record_verdict record_table::begin(
    idempotency_record const& record, time_point now)
{
    record_key const key{record.organisation, record.repeat_key};
    auto const it = records_.find(key);
    if (it != records_.end()) {
        if (it->second.record.print != record.print)
            return record_verdict::differs;
        return verdict_of(it->second.record.state);
    }
    if (records_.size() >= most_records)
        return record_verdict::full;
    records_.emplace(key, held_record{record, now});
    return record_verdict::proceed;
}

void record_table::finish(std::string const& organisation,
    std::string const& repeat_key, recorded_answer answer, time_point now)
{
    auto const it = records_.find({organisation, repeat_key});
    if (it == records_.end())
        return;
    auto const bytes = answer.body.size();
    if (bytes > largest_kept_answer ||
        answer_bytes_ + bytes > most_answer_bytes)
        return lose(organisation, repeat_key, now);
    auto& held = it->second;
    answer_bytes_ += bytes;
    held.record.state = record_state::done;
    held.record.answer = std::move(answer);
    ++held.record.revision;
    held.changed_at = now;
}

void record_table::lose(std::string const& organisation,
    std::string const& repeat_key, time_point now)
{
    auto const it = records_.find({organisation, repeat_key});
    if (it == records_.end() ||
        it->second.record.state != record_state::started)
        return;
    it->second.record.state = record_state::unknown;
    ++it->second.record.revision;
    it->second.changed_at = now;
}

void record_table::withdraw(
    std::string const& organisation, std::string const& repeat_key)
{
    auto const it = records_.find({organisation, repeat_key});
    if (it != records_.end() &&
        it->second.record.state == record_state::started)
        records_.erase(it);
}

void record_table::merge(idempotency_record const& copy, time_point now)
{
    record_key const key{copy.organisation, copy.repeat_key};
    auto const it = records_.find(key);
    if (it == records_.end()) {
        answer_bytes_ += copy.answer.body.size();
        records_.emplace(key, held_record{copy, now});
        return;
    }
    if (it->second.record.revision >= copy.revision)
        return;
    answer_bytes_ -= it->second.record.answer.body.size();
    answer_bytes_ += copy.answer.body.size();
    it->second = held_record{copy, now};
}

idempotency_record const* record_table::find(
    std::string const& organisation, std::string const& repeat_key) const
{
    auto const it = records_.find({organisation, repeat_key});
    return it == records_.end() ? nullptr : &it->second.record;
}

std::vector<idempotency_record> record_table::of(
    std::string const& organisation) const
{
    std::vector<idempotency_record> found;
    for (auto const& [key, held] : records_)
        if (key.first == organisation)
            found.push_back(held.record);
    std::sort(
        found.begin(), found.end(), [](auto const& left, auto const& right) {
            return left.repeat_key < right.repeat_key;
        });
    return found;
}

std::vector<std::string> record_table::organisations() const
{
    std::set<std::string> names;
    for (auto const& [key, held] : records_)
        names.insert(key.first);
    return {names.begin(), names.end()};
}

void record_table::expire(time_point now)
{
    for (auto& [key, held] : records_)
        if (held.record.state == record_state::started &&
            now - held.changed_at > held.record.run_limit) {
            held.record.state = record_state::unknown;
            ++held.record.revision;
            held.changed_at = now;
        }
    absl::erase_if(records_, [&](auto const& it) {
        if (now - it.second.changed_at <= record_retention)
            return false;
        answer_bytes_ -= it.second.record.answer.body.size();
        return true;
    });
}

} // namespace pomelohinge
