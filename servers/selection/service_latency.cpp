#include "servers/selection/service_latency.hpp"

namespace pomelohinge {
namespace {

/// Attempts before the median counts.
constexpr std::size_t enough_attempts = 20;

/// Relative step of the median's estimate.
constexpr double median_step = 0.03;

/// Weight of one attempt in the share of failures.
constexpr double failure_weight = 0.05;

} // namespace

void service_latencies::add(
    service_id const& service, duration latency, bool failed)
{
    auto& it = services_[service];
    ++it.attempts;
    it.failures += ((failed ? 1.0 : 0.0) - it.failures) * failure_weight;
    if (failed)
        return;
    auto const value = static_cast<double>(latency.count());
    if (it.median == 0)
        it.median = value;
    else
        it.median *= value > it.median ? 1 + median_step : 1 - median_step;
}

service_baseline service_latencies::baseline(service_id const& service) const
{
    auto const it = services_.find(service);
    if (it == services_.end() || it->second.attempts < enough_attempts)
        return {};
    return {duration(static_cast<duration::rep>(it->second.median)),
        it->second.failures};
}

} // namespace pomelohinge
