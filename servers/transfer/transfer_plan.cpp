#include "servers/transfer/transfer_plan.hpp"

#include <vector>

namespace pomelohinge {
namespace {

/// A data centre is short if it needs more than this part of its slots. Above
/// it requests wait, since arrivals are not even.
constexpr double short_load = 0.9;

/// Slots up to this part are free for others, so that one that takes requests
/// does not become short itself.
constexpr double free_load = 0.8;

/// A data centre with more refusals, as a part of its arrivals, or a longer
/// queue, as a part of its slots, is short whatever its load seems to be.
constexpr double max_refused = 0.02;
constexpr double max_queued = 0.25;

/// Those that wait in a queue are to be served within this time.
constexpr double queue_seconds = 1;

/// Assumed time for which a request holds a slot until any was measured.
constexpr double assumed_hold_seconds = 0.25;

/// Reports of a data centre in contact are at most this old: an exchange
/// every 0.25 s, a sync every 0.2 s, and one that is lost.
constexpr duration max_contact_age = std::chrono::milliseconds(1000);
/// From this age on nothing is sent there. With the period of the plans, 0.5 s,
/// that is at most 2 s.
constexpr duration max_load_age = std::chrono::milliseconds(1500);

double sum_of(std::map<std::int64_t, double> const& arrivals)
{
    double sum = 0;
    for (auto const& [priority, rate] : arrivals)
        sum += rate;
    return sum;
}

/// Load and capacity of one data centre, in slots.
struct centre_capacity
{
    std::string name;
    double demand = 0;
    double slots = 0;
    double shortage = 0;
    double free = 0;
    duration age{};
};

std::vector<centre_capacity> capacities_of(
    service_loads const& loads, std::string const& service, double hold)
{
    std::vector<centre_capacity> all;
    for (auto const& [key, it] : loads) {
        if (key.service != service)
            continue;
        centre_capacity centre;
        centre.name = key.data_centre;
        centre.age = it.age;
        auto const arrivals = sum_of(it.arrivals);
        centre.demand = (arrivals + it.queued / queue_seconds) * hold;
        centre.slots = it.reporters == 0 ? 0 : it.slots / it.reporters;
        centre.shortage =
            std::max(centre.demand - short_load * centre.slots, 0.0);
        bool const is_short = it.refused > max_refused * arrivals ||
            it.queued > max_queued * centre.slots;
        if (!is_short)
            centre.free =
                std::max(free_load * centre.slots - centre.demand, 0.0);
        all.push_back(std::move(centre));
    }
    return all;
}

double mean_hold(service_loads const& loads, std::string const& service)
{
    double busy = 0;
    double completions = 0;
    for (auto const& [key, it] : loads) {
        if (key.service != service)
            continue;
        busy += it.busy;
        completions += it.completions;
    }
    return completions > 0 ? busy / completions : assumed_hold_seconds;
}

/// More urgent requests get slots first.
std::map<std::int64_t, double> served_by_priority(
    service_load const& load, double slots, double hold)
{
    std::map<std::int64_t, double> served;
    auto left = slots;
    for (auto const& [priority, rate] : load.arrivals) {
        auto const needed = rate * hold;
        served[priority] =
            needed > 0 ? std::clamp(left / needed, 0.0, 1.0) : 1.0;
        left = std::max(left - needed, 0.0);
    }
    return served;
}

/// The part of its last known free capacity that is still used when a data
/// centre has not been heard from for `age`.
double remaining_part(duration age)
{
    return std::clamp(to_seconds(max_load_age - age) /
            to_seconds(max_load_age - max_contact_age),
        0.0, 1.0);
}

} // namespace

transfer_plan plan_transfers(service_loads const& loads,
    std::string const& service, std::string const& own_data_centre)
{
    transfer_plan plan;
    auto const own = loads.find({service, own_data_centre});
    if (own == loads.end())
        return plan;
    auto const hold = mean_hold(loads, service);
    auto const centres = capacities_of(loads, service, hold);
    double shortage = 0;
    centre_capacity self;
    for (auto const& it : centres) {
        if (it.name == own_data_centre)
            self = it;
        // One that is cut off is not known to get anything from anybody.
        if (it.age <= max_contact_age)
            shortage += it.shortage;
    }
    plan.served_here = served_by_priority(own->second, self.slots, hold);
    plan.has_slots_here = self.slots > 0;
    if (self.shortage <= 0 || self.demand <= 0)
        return plan;
    double offered = 0;
    for (auto const& it : centres) {
        if (it.name == own_data_centre || it.free <= 0)
            continue;
        bool const in_contact = it.age <= max_contact_age;
        auto const others = static_cast<double>(centres.size() - 1);
        auto const part = in_contact ? self.shortage / shortage
                                     : remaining_part(it.age) / others;
        if (part <= 0)
            continue;
        plan.shares[it.name] = it.free * part;
        offered += it.free * part;
    }
    // No more than what is missing leaves.
    auto const used = std::min(self.shortage / std::max(offered, 1e-9), 1.0);
    for (auto& [name, share] : plan.shares)
        share *= used / self.demand;
    return plan;
}

} // namespace pomelohinge
