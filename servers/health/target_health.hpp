#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_HEALTH_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_HEALTH_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/exchange/fleet_reports.hpp"
#include "servers/health/target_chart.hpp"

namespace pomelohinge {

/// What one traffic thread believes of one target, from its own attempts and
/// from what other VMs report. Health endpoints are not asked: they lag or
/// mislead. It follows charts/target.jsonc.
class target_health
{
public:
    explicit target_health(chart<target_chart> const& rules) : life_(rules) {}

    /// An attempt of this thread ended, or is taken as failed.
    void attempted(target_event event, time_point now);

    /// Others report; each kind of news counts once however often it came,
    /// since what they saw may be from the same moment.
    void reported(target_report const& news, time_point now);

    /// Lets time pass.
    void tick(time_point now);

    target_state state() const { return life_.state(); }

    /// When a whole answer last came, from here or elsewhere.
    time_point answered_at() const { return answered_at_; }

    /// When its rest is over; only meaningful while it is ejected.
    time_point rest_ends() const { return rest_ends_; }

    // For the chart.
    bool check(target_guard guard) const;
    void perform(target_action action);

private:
    void fire(target_event event, time_point now);

    chart_instance<target_chart> life_;
    time_point now_{};
    time_point answered_at_{};
    time_point rest_ends_{};
    time_point ejected_at_{};
    duration rest_{};
    std::uint32_t answers_ = 0;
    std::uint32_t failures_ = 0;
};

} // namespace pomelohinge

#endif
