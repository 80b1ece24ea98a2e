#ifndef POMELOHINGE_CONFIG_FLEET_BOUNDS_HPP
#define POMELOHINGE_CONFIG_FLEET_BOUNDS_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// What operators promise their callers over the whole fleet.
struct fleet_bounds
{
    /// A withdrawn key stops working within this time on every VM, also on
    /// one that is out of touch; zero for no such promise.
    duration max_revocation_delay = std::chrono::seconds(5);
    /// Retries to a service for each request to it, within the window.
    double retry_ratio = 0.2;
    duration retry_window = std::chrono::seconds(10);
    /// Retries beyond that in each window, over the whole fleet.
    double retry_extra = 20;
    /// Share of the targets of a service that are used at least, however
    /// many are suspected.
    double floor = 0.7;
};

} // namespace pomelohinge

#endif
