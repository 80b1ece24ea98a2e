#ifndef POMELOHINGE_SERVERS_HEALTH_FAILURE_PROBABILITY_HPP
#define POMELOHINGE_SERVERS_HEALTH_FAILURE_PROBABILITY_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// The probability that a target currently fails most requests. It is
/// updated by Bayes' rule with the outcome of each attempt and decays
/// exponentially towards the prior while there are no observations. The prior
/// is the share of the service's targets that fail at any time.
class failure_probability
{
public:
    /// The probability at `now`, 0 to 1.
    double at(time_point now) const;

    /// Records a complete answer. `baseline_failure_rate` is the share of
    /// failures over the whole service, 0 to 1: the higher it is, the less a
    /// single failure indicates that this target is failing.
    void record_success(double baseline_failure_rate, time_point now);

    /// Records a failed attempt. `certainty` is the probability that the
    /// target and not the network path caused the failure, 0 to 1.
    void record_failure(
        double baseline_failure_rate, double certainty, time_point now);

    /// Raises the probability at `now` to `value`, if it is lower.
    void raise_to(double value, time_point now);

    /// Sets the prior, 0 to 1. The probability at `now` does not change.
    void set_prior(double prior, time_point now);

private:
    void update(double likelihood_if_failing, double likelihood_if_healthy,
        time_point now);

    /// Prior until the share of failing targets is known.
    static constexpr double default_prior = 0.08;

    double prior_ = default_prior;
    double value_ = default_prior;
    time_point updated_at_{};
};

} // namespace pomelohinge

#endif
