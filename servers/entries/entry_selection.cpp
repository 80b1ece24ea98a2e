#include "servers/entries/entry_selection.hpp"

#include <algorithm>
#include <tuple>

namespace pomelohinge {
namespace {

/// Requests a second that one core takes with room for bursts: a request
/// costs about 1.5 ms, and a third of the core is used.
constexpr double requests_per_core = 220;

/// Kilobytes that a request and its answer move over an entry's link, both
/// ways, and the share of the link that they may fill.
constexpr double kilobytes_per_request = 12;
constexpr double link_share = 0.4;

/// Entries of a data centre at least, so that the loss of one leaves
/// another that callers know.
constexpr std::size_t fewest_entries = 2;

/// A higher load counts for so long, so that entries do not come and go.
constexpr duration peak_memory = std::chrono::seconds(10);

bool may_serve(fleet_member const& it)
{
    return it.alive && it.record.standing == vm_standing::serving;
}

} // namespace

double entry_capacity(vm_record const& record)
{
    constexpr double kilobytes_per_megabit = 125;
    auto const by_cores = record.cores * requests_per_core;
    auto const by_link = record.link_mbps * kilobytes_per_megabit * link_share /
        kilobytes_per_request;
    return std::max(1.0, std::min(by_cores, by_link));
}

double entry_selection::wanted_capacity(
    std::vector<fleet_member const*> const& members, time_point now)
{
    double load = 0;
    for (auto const* it : members)
        if (it->alive)
            load += it->load;
    if (load >= peak_load_ || now - peak_at_ > peak_memory) {
        peak_load_ = load;
        peak_at_ = now;
    }
    return peak_load_;
}

std::set<vm_id> entry_selection::choose(
    std::vector<fleet_member const*> const& hub_order, time_point now)
{
    auto const wanted = wanted_capacity(hub_order, now);
    // VMs that bear more come first, then those that are not needed as hub,
    // then those that are entries already.
    auto order = hub_order;
    auto const* const hub = hub_order.empty() ? nullptr : hub_order.front();
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
        if (capacity >= wanted && chosen.size() >= fewest_entries)
            break;
        if (!may_serve(*it))
            continue;
        chosen.insert(it->record.vm);
        capacity += entry_capacity(it->record);
    }
    return chosen;
}

} // namespace pomelohinge
