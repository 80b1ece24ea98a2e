#ifndef POMELOHINGE_CONFIG_FLEET_BOUNDS_HPP
#define POMELOHINGE_CONFIG_FLEET_BOUNDS_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// Limits that the fleet as a whole guarantees to callers and upstreams.
struct fleet_bounds
{
    /// Time within which a withdrawn key stops working on every VM, even on one
    /// that is disconnected; zero for no guarantee.
    duration max_revocation_delay = std::chrono::seconds(5);
    /// Retry budget of a service: retries allowed per request to it, counted
    /// over a sliding window.
    double retry_ratio = 0.2;
    duration retry_window = std::chrono::seconds(10);
    /// Number of additional retries to a service that the whole fleet allows
    /// in each window.
    double retry_extra = 20;
    /// Minimum share, from 0 to 1, of the targets of a service that receive
    /// requests, however many are suspected of failing.
    double floor = 0.7;
};

} // namespace pomelohinge

#endif
