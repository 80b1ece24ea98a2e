#ifndef POMELOHINGE_SERVERS_REQUESTS_ENTRY_STATE_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ENTRY_STATE_HPP

#include "config/fleet_bounds.hpp"
#include "servers/dispatch/dispatcher.hpp"
#include "servers/limits/organisation_limits.hpp"
#include "servers/poison/poison_guard.hpp"
#include "servers/requests/request_times.hpp"
#include "servers/retries/retry_budget.hpp"
#include "servers/rollouts/evidence_log.hpp"
#include "servers/selection/route_latencies.hpp"

#include <random>

namespace pomelohinge {

/// When a VM that stops as planned takes which requests.
struct planned_stop
{
    /// By when requests must have ended, since the process ends then. A request
    /// that is not likely to end in time is refused.
    time_point ends_at = time_point::max();
    /// From when on callers have had the time to learn that the VM stops, and
    /// only requests are taken that end in time even if they run into their
    /// deadline.
    time_point callers_left_at = time_point::max();

    bool planned() const { return ends_at != time_point::max(); }
};

/// State that the requests of one traffic thread share.
struct entry_state
{
    entry_state(target_charts const& charts, vm_id const& self,
        data_centre_id const& data_centre, std::uint64_t seed,
        dispatcher::connected_check connected, fleet_bounds configured,
        placement_settings const& placement = {},
        std::optional<transfer_settings> const& transfers = std::nullopt)
        : bounds(configured), spillover(transfers, data_centre),
          targets(charts, self, data_centre, seed, std::move(connected)),
          retries(configured), random(seed)
    {
        targets.set_floor(configured.floor);
        targets.set_placement(placement);
        targets.set_transfer(spillover);
    }

    /// Applies a new policy.
    void adopt(policy_pointer const& next, time_point now);

    /// Applies the merged reports of the other VMs.
    void apply_report(traffic_report const& others, time_point now);

    /// Builds this thread's report to the other VMs.
    traffic_report make_report(time_point now);

    /// Periodic maintenance.
    void tick(time_point now);

    /// Records for transfers that a request asks for a target, got none, or was
    /// answered with bodies of `body_bytes` in all.
    void record_arrival(admitted_request const& request, time_point now);
    void record_rejection(admitted_request const& request, time_point now);
    void record_answer(admitted_request const& request, duration latency,
        std::size_t body_bytes, time_point now);

    /// Whether a configuration read at `read_at` is fresh enough for its keys
    /// to be accepted. Always true if `max_revocation_delay` is zero.
    bool is_fresh(time_point read_at, time_point now) const;

    /// Whether a request that has arrived is taken although the VM may stop.
    bool admits_before_stop(admitted_request const& request,
        request_times const& times, time_point now) const;

    /// Whether a request that is sent now will very likely have ended before
    /// the process does.
    bool ends_before_stop(admitted_request const& request,
        request_times const& times, time_point now) const;

    fleet_bounds bounds;
    /// Decides which requests go to other data centres.
    transfer spillover;
    /// Chooses targets and queues the requests that wait for one.
    dispatcher targets;
    organisation_limits limits;
    retry_budget retries;
    poison_guard poison;
    /// Outcomes at services that are rolled out.
    evidence_log evidence;
    planned_stop stop;
    /// Latencies of routes, which tell whether a request ends before a stop.
    route_latencies latencies;
    /// Requests from callers.
    rate_meter load;
    /// Random numbers for traffic splits.
    std::mt19937_64 random;
};

} // namespace pomelohinge

#endif
