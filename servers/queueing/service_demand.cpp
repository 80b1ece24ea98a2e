#include "servers/queueing/service_demand.hpp"

#include "servers/selection/placement_limits.hpp"

namespace pomelohinge {
namespace {

/// Weight of one attempt in the mean holding time.
constexpr int mean_holding_divisor = 32;

/// A kind is much longer than another one if it holds slots for more than this
/// many times as long.
constexpr int longer_factor = 2;

bool is_recent(time_point at, time_point now)
{
    return at != time_point{} && now - at < retryable_expiry;
}

} // namespace

void service_demand::add_arrival(route_id const& route, std::int64_t priority,
    bool retryable, duration goal, time_point now)
{
    auto& it = kinds_[route];
    it.priority = priority;
    it.arrivals.add(now);
    it.last_arrival_at = now;
    it.goal = goal;
    if (retryable)
        it.last_retryable_at = now;
}

void service_demand::add_holding_time(route_id const& route, duration held)
{
    kinds_[route].holding.add(held);
    all_.add(held);
    mean_holding_ += mean_holding_ == duration::zero()
        ? held
        : (held - mean_holding_) / mean_holding_divisor;
}

holding_times const& service_demand::holding(route_id const& route) const
{
    auto const it = kinds_.find(route);
    return it == kinds_.end() || it->second.holding.median() == duration::zero()
        ? all_
        : it->second.holding;
}

double service_demand::more_urgent_arrivals(
    std::int64_t priority, time_point now) const
{
    double sum = 0;
    for (auto const& [route, it] : kinds_)
        sum += it.priority < priority ? it.arrivals.per_second(now) : 0;
    return sum;
}

double service_demand::more_urgent_slots(
    std::int64_t priority, time_point now) const
{
    double sum = 0;
    for (auto const& [route, it] : kinds_)
        if (it.priority < priority)
            sum +=
                it.arrivals.per_second(now) * to_seconds(it.holding.median());
    return sum;
}

bool service_demand::has_time_to_repeat(
    route_id const& route, duration goal) const
{
    auto const& held = holding(route);
    return held.high_quantile() + held.median() <= goal;
}

bool service_demand::has_longer_retryable(
    route_id const& route, time_point now) const
{
    auto const own = holding(route).median();
    for (auto const& [name, it] : kinds_)
        if (is_recent(it.last_retryable_at, now) &&
            it.holding.median() > own * longer_factor &&
            has_time_to_repeat(name, it.goal))
            return true;
    return false;
}

bool service_demand::is_most_urgent(std::int64_t priority, time_point now) const
{
    bool has_less_urgent = false;
    for (auto const& [name, it] : kinds_) {
        bool const counts = it.last_arrival_at != time_point{} &&
            now - it.last_arrival_at < priority_expiry;
        if (counts && it.priority < priority)
            return false;
        has_less_urgent |= counts && it.priority > priority;
    }
    return has_less_urgent;
}

bool service_demand::has_prober(time_point now) const
{
    for (auto const& [route, it] : kinds_)
        if (is_recent(it.last_retryable_at, now) &&
            has_time_to_repeat(route, it.goal))
            return true;
    return false;
}

bool service_demand::has_retryable(time_point now) const
{
    for (auto const& [name, it] : kinds_)
        if (is_recent(it.last_retryable_at, now))
            return true;
    return false;
}

} // namespace pomelohinge
