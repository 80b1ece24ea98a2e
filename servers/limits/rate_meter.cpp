#include "servers/limits/rate_meter.hpp"

#include <cmath>

namespace pomelohinge {
namespace {

/// Resolution of a window's counts.
constexpr int slices_per_window = 20;

} // namespace

void rate_meter::add(time_point now, double events)
{
    value_ = per_second(now) + events / averaging_seconds_;
    at_ = now;
}

double rate_meter::per_second(time_point now) const
{
    if (value_ == 0)
        return 0;
    return value_ * std::exp(-to_seconds(now - at_) / averaging_seconds_);
}

void window_counter::add(time_point now, double events)
{
    if (slices_.empty() ||
        now - slices_.back().begin >= window_ / slices_per_window)
        slices_.push_back({now, 0});
    slices_.back().events += events;
    sum_ += events;
}

void window_counter::take_back(time_point added_at)
{
    for (auto it = slices_.rbegin(); it != slices_.rend(); ++it) {
        if (it->begin > added_at)
            continue;
        if (added_at - it->begin >= window_ / slices_per_window)
            return;
        --it->events;
        --sum_;
        return;
    }
}

double window_counter::count(time_point now)
{
    // A slice is counted until its latest possible event has left the window.
    auto const max_age = window_ + window_ / slices_per_window;
    while (!slices_.empty() && now - slices_.front().begin > max_age) {
        sum_ -= slices_.front().events;
        slices_.pop_front();
    }
    return sum_;
}

double window_counter::count_last(duration part, time_point now) const
{
    double sum = 0;
    for (auto it = slices_.rbegin(); it != slices_.rend(); ++it) {
        if (now - it->begin > part)
            break;
        sum += it->events;
    }
    return sum;
}

} // namespace pomelohinge
