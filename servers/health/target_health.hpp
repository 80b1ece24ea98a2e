#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_HEALTH_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_HEALTH_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/exchange/fleet_reports.hpp"
#include "servers/health/failure_probability.hpp"
#include "servers/health/target_chart.hpp"

namespace pomelohinge {

/// What one traffic thread believes of one target, from its own attempts and
/// from what other VMs report. Health endpoints are not asked: they lag or
/// mislead. It follows charts/target.jsonc.
class target_health
{
public:
    explicit target_health(chart<target_chart> const& rules) : life_(rules) {}

    /// An attempt of this thread ended, or is taken as failed. `usual` is the
    /// share of failures over the whole service.
    void record_attempt(target_event event, double usual, time_point now);

    /// Others report.
    void record_report(target_report const& news, double usual, time_point now);

    /// Lets time pass.
    void tick(time_point now) { fire(target_event::rested, now); }

    target_state state() const { return life_.state(); }

    /// The probability that the target fails most requests now.
    double failure_probability_at(time_point now) const
    {
        return doubt_.at(now);
    }

    /// When anything was last heard of an attempt, from here or elsewhere.
    time_point last_observed_at() const { return tried_at_; }

    // For the chart.
    bool check(target_guard guard) const;
    void perform(target_action) {}

private:
    void fire(target_event event, time_point now);

    chart_instance<target_chart> life_;
    failure_probability doubt_;
    time_point now_{};
    time_point tried_at_{};
};

} // namespace pomelohinge

#endif
