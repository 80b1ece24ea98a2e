#ifndef POMELOHINGE_SERVERS_HEALTH_RAMP_HPP
#define POMELOHINGE_SERVERS_HEALTH_RAMP_HPP

#include "core/clock.hpp"

#include <cstddef>

namespace pomelohinge {

/// How many requests a target that warms up may run at a time. The number
/// grows by one when enough answers at the present one were quick, and is
/// halved when the target sheds.
class warm_up_ramp
{
public:
    /// Begins again with one request at a time.
    void start(time_point now);

    /// Takes a whole answer. Returns whether the next step is earned.
    bool answered(duration latency, duration service_median, time_point now);

    void step_up(time_point now);
    void step_down(time_point now);

    std::size_t level() const { return level_; }

private:
    void reset_step(time_point now);
    duration mean_latency() const;

    std::size_t level_ = 1;
    std::size_t answers_ = 0;
    duration latency_sum_{};
    /// Mean latency of the step before; zero if there was none.
    duration mean_before_{};
    time_point step_began_{};
    /// Doubles with each shed, so that a cold target is not driven into
    /// shedding over and over.
    duration step_time_{};
};

} // namespace pomelohinge

#endif
