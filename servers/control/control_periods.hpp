#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_PERIODS_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_PERIODS_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// Periods, timeouts and thresholds of the control plane.
struct control_periods
{
    /// Period of the expiry of members and reports.
    static constexpr duration tick_period = std::chrono::milliseconds(100);
    /// A tick that comes later than this was delayed by a pause of the process.
    static constexpr duration max_tick_delay = std::chrono::milliseconds(500);
    /// Period in which the hub selects the entries of its data centre.
    static constexpr duration entries_period = std::chrono::milliseconds(500);
    /// Period of syncs of a VM that carries traffic, acts as the hub, or still
    /// lacks a configuration or targets.
    static constexpr duration busy_period = std::chrono::milliseconds(200);
    /// Minimum time between two urgent reports of one VM.
    static constexpr duration urgent_report_period =
        std::chrono::milliseconds(50);
    /// The hub marks a VM that carries traffic as not alive after this time
    /// without a sync.
    static constexpr duration busy_liveness_timeout =
        std::chrono::milliseconds(1000);
    /// A VM without traffic syncs by long polls with this timeout.
    static constexpr duration idle_long_poll_timeout =
        std::chrono::milliseconds(900);
    static constexpr duration idle_liveness_timeout =
        std::chrono::milliseconds(2500);
    /// A VM that received a question of a member within this time acts as a hub
    /// and reads the store itself if its data is stale.
    static constexpr duration max_question_age =
        std::chrono::milliseconds(3000);
    /// Delay before the next sync after an answered one. The interval between
    /// syncs comes from the long poll at the hub.
    static constexpr duration min_sync_delay = std::chrono::milliseconds(20);
    /// Delay after a failed sync.
    static constexpr duration sync_retry_delay = std::chrono::milliseconds(100);
    /// A VM with more requests per second than this counts as busy, and so does
    /// every entry.
    static constexpr double min_busy_load = 0.5;
    /// VMs that have been unreachable for this long are removed from the store.
    static constexpr duration removal_timeout = std::chrono::seconds(60);
};

} // namespace pomelohinge

#endif
