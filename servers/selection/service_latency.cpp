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

void service_latencies::add(service_id const& service, duration latency)
{
    auto& it = services_[service];
    ++it.attempts;
    auto const value = static_cast<double>(latency.count());
    if (it.median == 0)
        it.median = value;
    else
        it.median *= value > it.median ? 1 + median_step : 1 - median_step;
}

void service_latencies::note_end(service_id const& service, bool failed)
{
    auto& it = services_[service];
    it.failures += ((failed ? 1.0 : 0.0) - it.failures) * failure_weight;
}

service_baseline service_latencies::baseline(service_id const& service) const
{
    auto const it = services_.find(service);
    if (it == services_.end())
        return {};
    auto const& seen = it->second;
    auto const median = seen.attempts < enough_attempts ? 0 : seen.median;
    return {duration(static_cast<duration::rep>(median)), seen.failures};
}

} // namespace pomelohinge
