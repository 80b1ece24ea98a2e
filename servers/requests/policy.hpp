#ifndef POMELOHINGE_SERVERS_REQUESTS_POLICY_HPP
#define POMELOHINGE_SERVERS_REQUESTS_POLICY_HPP

#include "config/configuration.hpp"
#include "servers/membership/vm_record.hpp"
#include "servers/routing/router.hpp"
#include "servers/targets/target_catalogue.hpp"

#include <cstdint>
#include <memory>
#include <set>

namespace pomelohinge {

/// What is derived from one version of the configuration.
struct configuration_index
{
    explicit configuration_index(configuration const& from, std::uint64_t at)
        : source(from), version(at), routes(from)
    {
    }

    configuration source;
    std::uint64_t version;
    router routes;
};

/// Everything that traffic threads decide by: an immutable snapshot that the
/// control thread publishes. Sharing it is what saves the request path its
/// locks.
struct policy
{
    std::shared_ptr<configuration_index const> index;
    std::shared_ptr<target_catalogue const> targets;
    std::shared_ptr<fleet_members const> members;
    /// Data centres whose targets get no new work.
    std::set<data_centre_id> closed;
    /// Configuration and targets are known.
    bool ready = false;
    /// The VM stops as planned.
    bool leaving = false;
    /// Rises with each snapshot.
    std::uint64_t sequence = 0;

    /// Whether the target may get new work.
    bool is_open(target_record const& target) const
    {
        return target.standing == target_standing::serving &&
            !closed.contains(target.data_centre);
    }
};

using policy_pointer = std::shared_ptr<policy const>;

} // namespace pomelohinge

#endif
