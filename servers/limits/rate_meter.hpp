#ifndef POMELOHINGE_SERVERS_LIMITS_RATE_METER_HPP
#define POMELOHINGE_SERVERS_LIMITS_RATE_METER_HPP

#include "core/clock.hpp"

#include <deque>

namespace pomelohinge {

/// Measures events per second as an exponential average over about the last
/// second, or another time.
class rate_meter
{
public:
    explicit rate_meter(duration averaging = std::chrono::seconds(1))
        : averaging_seconds_(to_seconds(averaging))
    {
    }

    void add(time_point now, double events = 1);
    double per_second(time_point now) const;

private:
    double averaging_seconds_;
    double value_ = 0;
    time_point at_{};
};

/// Counts events within a sliding window, with a resolution of a twentieth of
/// the window.
class window_counter
{
public:
    explicit window_counter(duration window) : window_(window) {}

    void add(time_point now, double events = 1);

    /// Takes back an event that was added at `added_at`. Does nothing once that
    /// has left the window.
    void take_back(time_point added_at);

    /// Events within the window before `now`.
    double count(time_point now);

    /// Events within `part` of the window before `now`.
    double count_last(duration part, time_point now) const;

private:
    struct slice
    {
        time_point begin;
        double events = 0;
    };

    duration window_;
    double sum_ = 0;
    std::deque<slice> slices_;
};

} // namespace pomelohinge

#endif
