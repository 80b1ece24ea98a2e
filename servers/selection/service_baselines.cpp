#include "servers/selection/service_baselines.hpp"

namespace pomelohinge {
namespace {

/// Number of answers below which the median counts as unknown.
constexpr std::size_t min_answers = 20;

/// Relative step of the median estimate.
constexpr double median_step = 0.03;

/// Weight of one attempt in the moving average of failures.
constexpr double failure_weight = 0.05;

/// Weight of one target in the moving average of confirmations.
constexpr double confirmation_weight = 0.1;

} // namespace

void service_baselines::add_latency(service_id const& service, duration latency)
{
    auto& it = services_[service];
    ++it.answers;
    auto const value = static_cast<double>(latency.count());
    if (it.median_latency == 0)
        it.median_latency = value;
    else
        it.median_latency *=
            value > it.median_latency ? 1 + median_step : 1 - median_step;
}

void service_baselines::add_attempt(service_id const& service, bool failed)
{
    auto& it = services_[service];
    it.failure_rate +=
        ((failed ? 1.0 : 0.0) - it.failure_rate) * failure_weight;
}

void service_baselines::add_confirmation(service_id const& service, bool failed)
{
    auto& it = services_[service];
    it.confirmation_rate +=
        ((failed ? 1.0 : 0.0) - it.confirmation_rate) * confirmation_weight;
}

service_baseline service_baselines::baseline(service_id const& service) const
{
    auto const it = services_.find(service);
    if (it == services_.end())
        return {};
    auto const& found = it->second;
    auto const median_latency =
        found.answers < min_answers ? 0 : found.median_latency;
    return {duration(static_cast<duration::rep>(median_latency)),
        found.failure_rate, found.confirmation_rate};
}

} // namespace pomelohinge
