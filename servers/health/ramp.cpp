#include "servers/health/ramp.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Answers per level that earn a step.
constexpr std::size_t answers_per_level = 2;

/// Shortest and longest time at one level.
constexpr duration shortest_step = std::chrono::milliseconds(200);
constexpr duration longest_step = std::chrono::seconds(5);

/// An answer is quick up to this multiple of the service's median.
constexpr int quick_factor = 3;

/// More concurrency may cost so much latency, in percent of the step before.
constexpr int tolerated_growth_percent = 150;

} // namespace

void warm_up_ramp::start(time_point now)
{
    level_ = 1;
    step_time_ = shortest_step;
    mean_before_ = duration::zero();
    reset_step(now);
}

void warm_up_ramp::reset_step(time_point now)
{
    answers_ = 0;
    latency_sum_ = duration::zero();
    step_began_ = now;
}

duration warm_up_ramp::mean_latency() const
{
    return latency_sum_ / static_cast<duration::rep>(answers_);
}

bool warm_up_ramp::answered(
    duration latency, duration service_median, time_point now)
{
    ++answers_;
    latency_sum_ += latency;
    if (answers_ < answers_per_level * level_ || now - step_began_ < step_time_)
        return false;
    auto const mean = mean_latency();
    bool const quick = service_median > duration::zero() &&
        mean <= service_median * quick_factor;
    bool const steady = mean_before_ == duration::zero() ||
        mean * 100 <= mean_before_ * tolerated_growth_percent;
    if (quick || steady)
        return true;
    mean_before_ = std::max(mean_before_, mean);
    reset_step(now);
    return false;
}

void warm_up_ramp::step_up(time_point now)
{
    mean_before_ = answers_ > 0 ? mean_latency() : duration::zero();
    ++level_;
    step_time_ = std::max(shortest_step, step_time_ * 3 / 4);
    reset_step(now);
}

void warm_up_ramp::step_down(time_point now)
{
    level_ = std::max<std::size_t>(1, level_ / 2);
    step_time_ = std::clamp(step_time_ * 2, shortest_step, longest_step);
    reset_step(now);
}

} // namespace pomelohinge
