#ifndef POMELOHINGE_SERVERS_LIMITS_RATE_METER_HPP
#define POMELOHINGE_SERVERS_LIMITS_RATE_METER_HPP

#include "core/clock.hpp"

#include <deque>

namespace pomelohinge {

/// Counts events a second over about the last second.
class rate_meter
{
public:
    void add(time_point now, double events = 1);
    double per_second(time_point now) const;

private:
    double value_ = 0;
    time_point at_{};
};

/// Counts events within a sliding window, to a twentieth of it.
class window_counter
{
public:
    explicit window_counter(duration window) : window_(window) {}

    void add(time_point now, double events = 1);
    double count(time_point now);

    /// Of these, those of the last part of the window.
    double count_last(duration part, time_point now) const;

private:
    struct slice
    {
        time_point began;
        double events = 0;
    };

    duration window_;
    double sum_ = 0;
    std::deque<slice> slices_;
};

} // namespace pomelohinge

#endif
