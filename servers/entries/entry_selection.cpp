#include "servers/entries/entry_selection.hpp"

#include <algorithm>
#include <tuple>

namespace pomelohinge {
namespace {

/// Requests per second that one core takes with headroom for bursts: a request
/// costs about 1.5 ms of CPU time, and a third of the core is used.
constexpr double requests_per_core = 220;

/// Kilobytes that a request and its answer transfer over an entry's link, in
/// both directions, and the part of the link's bandwidth that they may use.
constexpr double kilobytes_per_request = 12;
constexpr double max_link_part = 0.4;

/// Minimum number of entries in a data centre. If one fails, callers still
/// have the address of another.
constexpr std::size_t min_entries = 2;

/// Time for which a peak load counts, so that entries are not removed and
/// added again as the load fluctuates.
constexpr duration peak_hold_time = std::chrono::seconds(10);

bool may_serve(fleet_member const& it)
{
    return it.alive && it.record.standing == vm_standing::serving;
}

} // namespace

double entry_capacity(vm_record const& record)
{
    constexpr double kilobytes_per_megabit = 125;
    auto const by_cores = record.cores * requests_per_core;
    auto const by_link = record.link_mbps * kilobytes_per_megabit *
        max_link_part / kilobytes_per_request;
    return std::max(1.0, std::min(by_cores, by_link));
}

double entry_selection::required_capacity(
    std::vector<fleet_member const*> const& members, time_point now)
{
    double load = 0;
    for (auto const* it : members)
        if (it->alive)
            load += it->load;
    if (load >= peak_load_ || now - peak_at_ > peak_hold_time) {
        peak_load_ = load;
        peak_at_ = now;
    }
    return peak_load_;
}

std::set<vm_id> entry_selection::choose(
    std::vector<fleet_member const*> const& members, time_point now)
{
    auto const required = required_capacity(members, now);
    // In order of decreasing capacity; the hub comes after other VMs of the
    // same capacity, and existing entries before VMs that are not entries.
    auto order = members;
    auto const* const hub = members.empty() ? nullptr : members.front();
    std::stable_sort(
        order.begin(), order.end(), [&](auto const* left, auto const* right) {
            auto const key = [&](fleet_member const* it) {
                return std::tuple(
                    -entry_capacity(it->record), it == hub, !it->entry);
            };
            return key(left) < key(right);
        });
    std::set<vm_id> chosen;
    double capacity = 0;
    for (auto const* it : order) {
        if (capacity >= required && chosen.size() >= min_entries)
            break;
        if (!may_serve(*it))
            continue;
        chosen.insert(it->record.vm);
        capacity += entry_capacity(it->record);
    }
    return chosen;
}

} // namespace pomelohinge
