#include "servers/health/failure_probability.hpp"

#include <algorithm>
#include <cmath>

namespace pomelohinge {
namespace {

/// Share of its requests that a failing target is taken to fail.
constexpr double failures_of_the_ill = 0.75;

/// Failures of a well target, and the most that a whole service's share of
/// failures is taken to explain.
constexpr double least_usual = 0.015;
constexpr double most_usual = 0.6;

/// Time in which what was seen loses most of its weight: failures come and
/// go within some seconds.
constexpr double memory_seconds = 4;

/// However much was seen, the state may just have changed.
constexpr double least_doubt = 0.01;
constexpr double most_doubt = 0.97;

double bounded(double usual)
{
    return std::clamp(usual, least_usual, most_usual);
}

} // namespace

double failure_probability::at(time_point now) const
{
    auto const kept = std::exp(-to_seconds(now - at_) / memory_seconds);
    return expected + (value_ - expected) * kept;
}

void failure_probability::update(double if_ill, double if_well, time_point now)
{
    auto const before = at(now);
    auto const ill = before * if_ill;
    auto const well = (1 - before) * if_well;
    value_ = std::clamp(ill / (ill + well), least_doubt, most_doubt);
    at_ = now;
}

void failure_probability::answered(double usual, time_point now)
{
    update(1 - failures_of_the_ill, 1 - bounded(usual), now);
}

void failure_probability::failed(double usual, double certainty, time_point now)
{
    auto const well = bounded(usual);
    // An uncertain failure is as likely with a well target.
    update(failures_of_the_ill,
        well + (failures_of_the_ill - well) * (1 - certainty), now);
}

} // namespace pomelohinge
