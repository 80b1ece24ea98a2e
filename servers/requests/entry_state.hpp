#ifndef POMELOHINGE_SERVERS_REQUESTS_ENTRY_STATE_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ENTRY_STATE_HPP

#include "config/fleet_bounds.hpp"
#include "servers/dispatch/dispatcher.hpp"
#include "servers/limits/organisation_limits.hpp"
#include "servers/poison/poison_guard.hpp"
#include "servers/retries/retry_budget.hpp"

#include <random>

namespace pomelohinge {

/// State that the requests of one traffic thread share.
struct entry_state
{
    entry_state(target_charts const& charts, vm_id const& self,
        data_centre_id const& data_centre, std::uint64_t seed,
        dispatcher::connected_check connected, fleet_bounds configured)
        : bounds(configured),
          targets(charts, self, data_centre, seed, std::move(connected)),
          retries(configured), random(seed)
    {
        targets.set_floor(configured.floor);
    }

    /// Applies a new policy.
    void adopt(policy_pointer const& next, time_point now);

    /// Applies the merged reports of the other VMs.
    void apply_report(traffic_report const& others, time_point now);

    /// Builds this thread's report to the other VMs.
    traffic_report make_report(time_point now);

    /// Periodic maintenance.
    void tick(time_point now);

    /// Whether a configuration read at `read_at` is fresh enough for its keys
    /// to be accepted. Always true if `max_revocation_delay` is zero.
    bool is_fresh(time_point read_at, time_point now) const;

    fleet_bounds bounds;
    /// Chooses targets and queues the requests that wait for one.
    dispatcher targets;
    organisation_limits limits;
    retry_budget retries;
    poison_guard poison;
    /// When the process ends. A request that is not likely to end before it is
    /// refused.
    time_point stops_at = time_point::max();
    /// Requests from callers.
    rate_meter load;
    /// Random numbers for traffic splits.
    std::mt19937_64 random;
};

} // namespace pomelohinge

#endif
