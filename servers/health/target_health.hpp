#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_HEALTH_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_HEALTH_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/exchange/fleet_reports.hpp"
#include "servers/health/failure_probability.hpp"
#include "servers/health/target_chart.hpp"
#include "servers/selection/service_baselines.hpp"

namespace pomelohinge {

/// Passive health check of one target by one traffic thread: estimates the
/// target's failure probability from the thread's own attempts and from the
/// reports of other VMs, and runs the state machine in charts/target.jsonc.
/// Health endpoints are not polled, because their answers lag behind the
/// target's condition or are wrong.
class target_health
{
public:
    explicit target_health(chart<target_chart> const& health_chart)
        : state_(health_chart)
    {
    }

    /// Records that an attempt of this thread has ended, or counts as failed
    /// before it has ended.
    void record_attempt(
        target_event event, service_baseline const& service, time_point now);

    /// Records the observations in a report of other VMs.
    void record_report(target_report const& report,
        service_baseline const& service, time_point now);

    /// Updates the state to the failure probability at `now`, which decays
    /// while there are no observations.
    void tick(time_point now) { fire(target_event::rested, now); }

    /// Sets the share of the service's targets that fail at any time, 0 to 1.
    void set_failing_share(double share, time_point now)
    {
        failure_probability_.set_prior(share, now);
    }

    target_state state() const { return state_.state(); }

    /// Delay after a failure until the target may have recovered. The longer it
    /// has failed, the longer it is likely to go on. A single failure that is
    /// not confirmed probably means nothing.
    duration recovery_delay(service_baseline const& service) const;

    /// Whether the target fails most requests, not just one: there were several
    /// failures, or most single failures of the service have meant that.
    bool is_confirmed(service_baseline const& service) const;

    /// Whether the latest observation was a failure, and the recovery delay has
    /// not passed since.
    bool is_recovering(service_baseline const& service, time_point now) const
    {
        return last_failed_ &&
            now - last_observed_at_ < recovery_delay(service);
    }

    /// Whether the latest observation was a failure.
    bool last_failed() const { return last_failed_; }

    /// Number of observed failures since the target was last trusted.
    int failures() const { return failures_; }

    /// The probability that the target currently fails most requests, 0 to 1.
    double failure_probability_at(time_point now) const
    {
        return failure_probability_.at(now);
    }

    /// Time of the latest observation, by this thread or in a report.
    time_point last_observed_at() const { return last_observed_at_; }

    // Called by the state chart.
    bool check(target_guard guard) const;
    void perform(target_action) {}

private:
    void fire(target_event event, time_point now);
    void count_failure(time_point now);
    void record_first_failure(
        service_baseline const& service, bool was_trusted, time_point now);

    chart_instance<target_chart> state_;
    failure_probability failure_probability_;
    time_point now_{};
    time_point last_observed_at_{};
    /// The first and the latest failure since the target was last trusted, and
    /// their number.
    time_point first_failure_at_{};
    time_point last_failure_at_{};
    int failures_ = 0;
    bool last_failed_ = false;
};

} // namespace pomelohinge

#endif
