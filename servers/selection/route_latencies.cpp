#include "servers/selection/route_latencies.hpp"

#include <algorithm>
#include <functional>

namespace pomelohinge {
namespace {

/// Number of requests below which their times say little.
constexpr std::size_t min_samples = 16;

/// One in this many requests may exceed the quantile.
constexpr std::size_t requests_per_outlier = 32;

/// Factor from the quantile to the limit.
constexpr int limit_factor = 2;

constexpr duration idle_retention = std::chrono::minutes(10);

} // namespace

void route_latencies::add(route_id const& route, service_id const& service,
    duration latency, time_point now)
{
    auto& it = routes_[key(route, service)];
    it.latencies_ms[it.added++ % max_samples] = static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(latency).count());
    it.last_added_at = now;
}

std::optional<duration> route_latencies::likely_limit(
    route_id const& route, service_id const& service) const
{
    auto const it = routes_.find(key(route, service));
    if (it == routes_.end() || it->second.added < min_samples)
        return std::nullopt;
    auto sorted = it->second.latencies_ms;
    auto const n = std::min(it->second.added, max_samples);
    auto const end = sorted.begin() + static_cast<std::ptrdiff_t>(n);
    auto const quantile =
        sorted.begin() + static_cast<std::ptrdiff_t>(n / requests_per_outlier);
    std::nth_element(sorted.begin(), quantile, end, std::greater<>());
    return std::chrono::milliseconds(*quantile) * limit_factor;
}

void route_latencies::remove_idle(time_point now)
{
    absl::erase_if(routes_, [&](auto const& it) {
        return now - it.second.last_added_at > idle_retention;
    });
}

} // namespace pomelohinge
