#include "servers/health/failure_probability.hpp"

#include <algorithm>
#include <cmath>

namespace pomelohinge {
namespace {

/// Share of requests that a failing target is assumed to fail.
constexpr double failing_target_failure_rate = 0.75;

/// Bounds of the baseline failure rate. A healthy target also fails some
/// requests, and a high failure rate of the service explains only part of a
/// target's failures.
constexpr double min_baseline_failure_rate = 0.015;
constexpr double max_baseline_failure_rate = 0.6;

/// Time constant of the decay towards the prior, in seconds. Failures start
/// and stop within a few seconds.
constexpr double decay_seconds = 4;

/// Bounds of the probability. The target's condition may have just changed,
/// so no number of observations makes it certain.
constexpr double min_probability = 0.01;
constexpr double max_probability = 0.97;

double bounded(double baseline_failure_rate)
{
    return std::clamp(baseline_failure_rate, min_baseline_failure_rate,
        max_baseline_failure_rate);
}

} // namespace

double failure_probability::at(time_point now) const
{
    auto const decay = std::exp(-to_seconds(now - updated_at_) / decay_seconds);
    return prior_ + (value_ - prior_) * decay;
}

void failure_probability::raise_to(double value, time_point now)
{
    value_ = std::min(std::max(at(now), value), max_probability);
    updated_at_ = now;
}

void failure_probability::set_prior(double prior, time_point now)
{
    value_ = at(now);
    updated_at_ = now;
    prior_ = prior;
}

void failure_probability::update(
    double likelihood_if_failing, double likelihood_if_healthy, time_point now)
{
    auto const current = at(now);
    auto const failing = current * likelihood_if_failing;
    auto const healthy = (1 - current) * likelihood_if_healthy;
    value_ = std::clamp(
        failing / (failing + healthy), min_probability, max_probability);
    updated_at_ = now;
}

void failure_probability::record_success(
    double baseline_failure_rate, time_point now)
{
    update(1 - failing_target_failure_rate, 1 - bounded(baseline_failure_rate),
        now);
}

void failure_probability::record_failure(
    double baseline_failure_rate, double certainty, time_point now)
{
    auto const baseline = bounded(baseline_failure_rate);
    // With certainty 0 the failure is equally likely for a failing and for a
    // healthy target, so that it leaves the probability unchanged.
    update(failing_target_failure_rate,
        baseline + (failing_target_failure_rate - baseline) * (1 - certainty),
        now);
}

} // namespace pomelohinge
