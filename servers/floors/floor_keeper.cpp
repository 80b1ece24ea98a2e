#include "servers/floors/floor_keeper.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// A report older than this is not relied upon.
constexpr duration report_limit = 3 * floor_report_period;

/// For so long after a grant, reports that do not show the ejection yet are
/// taken as sent before it.
constexpr duration grant_settles = std::chrono::seconds(2);

} // namespace

void floor_keeper::configure(floor_object const& floor,
    std::vector<std::pair<target_id, std::int64_t>> const& targets)
{
    floor_ = floor;
    absl::btree_map<target_id, known_target> next;
    for (auto const& [name, slots] : targets) {
        auto& it = next[name];
        if (auto const known = targets_.find(name); known != targets_.end())
            it = known->second;
        it.slots = slots;
        it.capacity = std::min(it.capacity, slots);
    }
    targets_ = std::move(next);
}

void floor_keeper::report(capacity_report const& report, time_point now)
{
    auto const it = targets_.find(report.target);
    if (it == targets_.end())
        return;
    auto& known = it->second;
    bool const settling = known.ejected && !report.ejected &&
        now - known.granted_at < grant_settles;
    known.reported = true;
    known.reported_at = now;
    if (settling)
        return;
    known.capacity = std::min(report.capacity, known.slots);
    known.ejected = report.ejected;
}

bool floor_keeper::all_reported(time_point now) const
{
    return std::all_of(targets_.begin(), targets_.end(), [&](auto const& it) {
        return it.second.reported &&
            now - it.second.reported_at <= report_limit;
    });
}

std::int64_t floor_keeper::healthy_capacity() const
{
    std::int64_t sum = 0;
    for (auto const& [name, it] : targets_)
        if (!it.ejected)
            sum += it.capacity;
    return sum;
}

std::int64_t floor_keeper::floor_capacity() const
{
    std::int64_t slots = 0;
    for (auto const& [name, it] : targets_)
        slots += it.slots;
    constexpr std::int64_t whole = 100;
    return (slots * floor_.percent + whole - 1) / whole;
}

floor_verdict floor_keeper::ask(target_id const& target, time_point now)
{
    auto const it = targets_.find(target);
    if (it == targets_.end() || it->second.ejected)
        return floor_verdict::granted;
    if (!all_reported(now))
        return floor_verdict::not_known;
    auto const rest = healthy_capacity() - it->second.capacity;
    if (rest < floor_capacity())
        return floor_verdict::below_floor;
    it->second.ejected = true;
    it->second.granted_at = now;
    assert_invariant(invariant::ejection_keeps_floor,
        healthy_capacity() >= floor_capacity(), target.text());
    return floor_verdict::granted;
}

void floor_keeper::give_back(target_id const& target)
{
    auto const it = targets_.find(target);
    if (it != targets_.end())
        it->second.ejected = false;
}

} // namespace pomelohinge
