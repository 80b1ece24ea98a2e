#ifndef POMELOHINGE_SERVERS_REQUESTS_ENTRY_STATE_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ENTRY_STATE_HPP

#include "config/fleet_bounds.hpp"
#include "servers/dispatch/dispatcher.hpp"
#include "servers/limits/organisation_limits.hpp"
#include "servers/poison/poison_guard.hpp"
#include "servers/retries/retry_budget.hpp"

#include <random>

namespace pomelohinge {

/// What the requests of one traffic thread share.
struct entry_state
{
    entry_state(chart<target_chart> const& target_rules, vm_id const& self,
        data_centre_id const& data_centre, std::uint64_t seed,
        dispatcher::connected_check connected, fleet_bounds promised)
        : bounds(promised),
          targets(target_rules, self, data_centre, seed, std::move(connected)),
          retries(promised), random(seed)
    {
        targets.set_floor(promised.floor);
    }

    /// Follows a new snapshot.
    void adopt(policy_pointer const& next, time_point now);

    /// Takes what the other VMs report.
    void apply_report(traffic_report const& others, time_point now);

    /// What the others are told.
    traffic_report make_report(time_point now);

    void tick(time_point now);

    /// Whether keys can be relied upon that were read at `read_at`.
    bool is_fresh(time_point read_at, time_point now) const;

    fleet_bounds bounds;
    dispatcher targets;
    organisation_limits limits;
    retry_budget retries;
    poison_guard poison;
    rate_meter load;
    std::mt19937_64 random;
};

} // namespace pomelohinge

#endif
