#ifndef POMELOHINGE_SERVERS_REQUESTS_POLICY_HPP
#define POMELOHINGE_SERVERS_REQUESTS_POLICY_HPP

#include "config/configuration.hpp"
#include "servers/membership/vm_record.hpp"
#include "servers/rollouts/rollout_table.hpp"
#include "servers/routing/router.hpp"
#include "servers/targets/store_era.hpp"
#include "servers/targets/target_catalogue.hpp"

#include <cstdint>
#include <memory>
#include <set>

namespace pomelohinge {

/// One version of the configuration, with the tables derived from it.
struct configuration_index
{
    explicit configuration_index(
        configuration const& from, std::uint64_t from_version)
        : source(from), version(from_version), routes(from)
    {
    }

    configuration source;
    std::uint64_t version;
    router routes;
};

/// The immutable snapshot by which traffic threads decide, published by the
/// control thread. It is shared, so that the request path needs no locks.
struct policy
{
    std::shared_ptr<configuration_index const> index;
    std::shared_ptr<target_catalogue const> targets;
    std::shared_ptr<fleet_members const> members;
    /// Closed data centres, whose targets get no new requests.
    std::set<data_centre_id> closed;
    /// What targets may get while versions are rolled out; null if rollouts are
    /// not enabled.
    std::shared_ptr<rollout_table const> rollouts;
    /// A configuration and a list of targets have been received.
    bool ready = false;
    /// The VM is shutting down.
    bool leaving = false;
    /// The era of the store that the targets were read in.
    store_era store;
    /// Increases with each snapshot.
    std::uint64_t sequence = 0;

    rollout_role role_of(target_record const& target) const
    {
        return rollouts == nullptr ? rollout_role::open
                                   : rollouts->role_of(target.id);
    }

    /// Whether the target may get new requests.
    bool accepts_requests(target_record const& target) const
    {
        return target.standing == target_standing::serving &&
            !closed.contains(target.data_centre) &&
            role_of(target) != rollout_role::withheld;
    }
};

using policy_pointer = std::shared_ptr<policy const>;

} // namespace pomelohinge

#endif
