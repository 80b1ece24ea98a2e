#ifndef POMELOHINGE_SERVERS_QUEUEING_WAIT_ESTIMATE_HPP
#define POMELOHINGE_SERVERS_QUEUEING_WAIT_ESTIMATE_HPP

#include "core/clock.hpp"

#include <cstddef>

namespace pomelohinge {

/// The wait for a trusted slot, as one VM expects it.
struct wait_estimate
{
    /// Trusted slots that come free for this VM, per second, less those that
    /// more urgent requests are expected to take.
    double slots_per_second = 0;
    /// Queued requests that go first.
    std::size_t ahead = 0;

    /// Probability that a slot comes free for the request within `wait`. Slots
    /// come free independently of each other, so their number is
    /// Poisson-distributed.
    double chance_within(duration wait) const;

    /// Expected time until a slot comes free for the request.
    duration expected() const;
};

} // namespace pomelohinge

#endif
