#include "servers/transfer/transfer.hpp"

#include "core/log.hpp"

#include <cmath>

namespace pomelohinge {
namespace {

/// A share grows by this much per second at most, so that the other data centre
/// sees its load rise. It shrinks faster, and ends at once if there is nothing
/// to send or the other data centre is short or not in contact.
constexpr double share_growth = 0.5;
constexpr double decline_factor = 2;

/// Smaller shares are not worth a connection.
constexpr double min_share = 0.005;

/// Unused allowance is kept for this time, and is at least one request.
constexpr double burst_seconds = 0.25;

/// Tokens are added this often at most, since many requests ask at once.
constexpr double min_refill_seconds = 0.005;

/// Priorities differ in value by this factor, up to `max_value`.
constexpr double value_factor = 2;
constexpr double max_value = 16;

/// Weight of one request in the mean size of its route.
constexpr double size_weight = 0.05;

/// Assumed size of a request with its response until one was measured.
constexpr double assumed_bytes = 4096;

constexpr double bytes_per_mb = 1e6;

/// A service without requests for some seconds has less, and is left out.
constexpr double min_arrivals = 0.01;

} // namespace

void transfer::record_arrival(
    std::string const& service, std::int64_t priority, time_point now)
{
    if (!enabled())
        return;
    services_[service].arrivals[priority].add(now);
    lowest_priority_ = std::max(lowest_priority_, priority);
}

void transfer::record_refusal(std::string const& service, time_point now)
{
    if (enabled())
        services_[service].refused.add(now);
}

void transfer::record_answer(std::string const& service,
    std::string const& route, duration latency, std::size_t bytes,
    time_point now)
{
    auto const size = static_cast<double>(bytes);
    auto const [mean, is_first] = route_bytes_.try_emplace(route, size);
    if (!is_first)
        mean->second += (size - mean->second) * size_weight;
    if (!enabled())
        return;
    auto& it = services_[service];
    it.completions.add(now);
    it.busy.add(now, to_seconds(latency));
}

void transfer::set_capacity(
    std::string const& service, double slots, double occupied, double queued)
{
    auto& it = services_[service];
    it.slots = slots;
    it.occupied = occupied;
    it.queued = queued;
    it.has_capacity = true;
}

double transfer::expected_bytes(std::string const& route) const
{
    auto const it = route_bytes_.find(route);
    return it == route_bytes_.end() ? assumed_bytes : it->second;
}

service_loads transfer::loads(time_point now) const
{
    service_loads all;
    for (auto const& [name, it] : services_) {
        auto& load = all[{name, data_centre_}];
        for (auto const& [priority, meter] : it.arrivals)
            if (auto const rate = meter.per_second(now); rate > min_arrivals)
                load.arrivals[priority] = rate;
        load.completions = it.completions.per_second(now);
        load.busy = it.busy.per_second(now);
        load.queued = it.queued;
        load.refused = it.refused.per_second(now);
        load.slots = it.slots;
        load.occupied = it.occupied;
        load.reporters = it.has_capacity ? 1 : 0;
    }
    return all;
}

void transfer::apply_loads(service_loads const& others, time_point now)
{
    if (!enabled())
        return;
    others_ = others;
    others_at_ = now;
}

void transfer::tick(time_point now)
{
    if (!enabled() || now - planned_at_ < settings_->period)
        return;
    auto const elapsed =
        std::min<duration>(now - planned_at_, 2 * settings_->period);
    planned_at_ = now;
    auto merged = loads(now);
    for (auto const& [key, it] : others_) {
        auto& load = merged[key];
        load.add(it);
        // This thread knows its own data centre's targets at any time.
        if (key.data_centre != data_centre_)
            load.age += now - others_at_;
    }
    for (auto const& [name, it] : services_)
        plan_service(name, merged, elapsed, now);
}

void transfer::plan_service(std::string const& service,
    service_loads const& loads, duration elapsed, time_point now)
{
    refill(now);
    auto& plan = plans_[service];
    plan = plan_transfers(loads, service, data_centre_);
    for (auto const& [name, share] : plan.shares)
        allowances_.try_emplace({service, name});
    // Without targets here there is nothing that a step could disturb.
    auto const growth =
        plan.has_slots_here ? share_growth * to_seconds(elapsed) : 1;
    for (auto it = allowances_.lower_bound({service, ""});
         it != allowances_.end() && it->first.service == service; ++it) {
        auto const planned = plan.shares.find(it->first.data_centre);
        move_share(it->first,
            planned == plan.shares.end() ? 0 : planned->second, growth);
    }
}

/// Moves a share towards the planned one.
void transfer::move_share(
    load_key const& key, double planned, double largest_growth)
{
    auto& it = allowances_[key];
    auto const before = it.share;
    auto const largest_decline = largest_growth * decline_factor;
    it.share = std::clamp(
        planned, it.share - largest_decline, it.share + largest_growth);
    if (planned <= 0 || it.share < min_share)
        it.share = it.tokens = 0;
    if ((before > 0) != (it.share > 0))
        log(log_event::transfer_changed,
            {{"service", key.service}, {"to", key.data_centre},
                {"share", it.share}, {"planned", planned}});
}

double transfer::arrivals_of(std::string const& service, time_point now) const
{
    auto const it = services_.find(service);
    double sum = 0;
    if (it != services_.end())
        for (auto const& [priority, meter] : it->second.arrivals)
            sum += meter.per_second(now);
    return sum;
}

void transfer::refill(time_point now)
{
    auto const elapsed = std::min(to_seconds(now - refilled_at_), 1.0);
    if (elapsed < min_refill_seconds)
        return;
    refilled_at_ = now;
    for (auto& [key, it] : allowances_) {
        auto const rate = it.share * arrivals_of(key.service, now);
        auto const most =
            it.share > 0 ? std::max(rate * burst_seconds, 1.0) : 0;
        it.tokens = std::min(it.tokens + rate * elapsed, most);
    }
}

double transfer::value_of(std::int64_t priority) const
{
    auto const steps = static_cast<double>(lowest_priority_ - priority);
    return std::clamp(std::pow(value_factor, steps), 1.0, max_value);
}

std::optional<transfer_offer> transfer::offer(transfer_request const& request,
    std::string const& data_centre, time_point now)
{
    auto const service = std::string(request.service);
    if (request.has_targets_here && !is_allowed(service, data_centre, now))
        return std::nullopt;
    auto const success_here =
        request.has_targets_here ? probability_here(request, service) : 0.0;
    auto const price = request.bytes / bytes_per_mb * settings_->price_per_mb /
        value_of(request.priority);
    return transfer_offer{success_here + price, price};
}

bool transfer::is_allowed(
    std::string const& service, std::string const& data_centre, time_point now)
{
    refill(now);
    auto const it = allowances_.find({service, data_centre});
    return it != allowances_.end() && it->second.tokens >= 1;
}

double transfer::probability_here(
    transfer_request const& request, std::string const& service) const
{
    auto const plan = plans_.find(service);
    if (plan == plans_.end())
        return 1;
    auto const served = plan->second.served_here.find(request.priority);
    return std::max(request.success_here,
        served == plan->second.served_here.end() ? 1.0 : served->second);
}

void transfer::record_sent(
    std::string const& service, std::string const& data_centre, double bytes)
{
    ++sent_requests_;
    sent_bytes_ += bytes;
    auto const it = allowances_.find({service, data_centre});
    if (it != allowances_.end())
        it->second.tokens -= 1;
}

std::map<load_key, double> transfer::shares() const
{
    std::map<load_key, double> all;
    for (auto const& [key, it] : allowances_)
        if (it.share > 0)
            all[key] = it.share;
    return all;
}

} // namespace pomelohinge
