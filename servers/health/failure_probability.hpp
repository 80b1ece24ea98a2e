#ifndef POMELOHINGE_SERVERS_HEALTH_FAILURE_PROBABILITY_HPP
#define POMELOHINGE_SERVERS_HEALTH_FAILURE_PROBABILITY_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// The probability that a target fails most of its requests now, by Bayes'
/// rule from what was seen of it. It forgets: without news it returns to
/// what is expected of any target.
class failure_probability
{
public:
    /// The probability at `now`, 0 to 1.
    double at(time_point now) const;

    /// A whole answer came. `usual` is the share of failures over the whole
    /// service, 0 to 1: where many fail, one failure says little of one
    /// target.
    void answered(double usual, time_point now);

    /// An attempt failed. `certainty` tells how far only the target can have
    /// caused it, 0 to 1.
    void failed(double usual, double certainty, time_point now);

private:
    void update(double if_ill, double if_well, time_point now);

    double value_ = expected;
    time_point at_{};

    /// What is expected of a target of which nothing is known.
    static constexpr double expected = 0.08;
};

} // namespace pomelohinge

#endif
