#ifndef POMELOHINGE_SERVERS_REQUESTS_POLICY_HPP
#define POMELOHINGE_SERVERS_REQUESTS_POLICY_HPP

#include "config/configuration.hpp"
#include "servers/limits/organisation_shares.hpp"
#include "servers/ownership/ownership.hpp"
#include "servers/routing/router.hpp"
#include "servers/selection/target_table.hpp"

#include <cstdint>
#include <memory>

namespace pomelohinge {

/// What is derived from one version of the configuration.
struct configuration_index
{
    explicit configuration_index(configuration const& from, std::uint64_t at)
        : source(from), version(at), routes(from), targets(from)
    {
    }

    configuration source;
    std::uint64_t version;
    router routes;
    target_table targets;
    /// Organisations whose rate has been divided into another number of
    /// shares lately, and when. Until all VMs know, the new shares are not
    /// filled.
    text_map<time_point> divided_anew;

    /// Fills `divided_anew` from the index before and what changed since.
    void note_divided_anew(configuration_index const& before, time_point now);
};

/// By when an accepted configuration is in force on every VM.
inline constexpr duration configuration_bound = std::chrono::seconds(5);

/// Everything that traffic threads decide by: an immutable snapshot that the
/// control thread publishes. Sharing it is what saves the request path its
/// locks.
struct policy
{
    std::shared_ptr<configuration_index const> index;
    ownership owners;
    /// No configuration is known yet.
    bool ready = false;
    /// The VM leaves: it owns nothing and is in no entry answer.
    bool leaving = false;
    /// Rises with each snapshot.
    std::uint64_t sequence = 0;
};

using policy_pointer = std::shared_ptr<policy const>;

/// The key by which the shares of an organisation are ranked.
inline owned_key shares_key(
    organisation_id const& organisation, rate_object const& rate)
{
    return {owned_kind::organisation, organisation.text(), nullptr,
        share_count(rate)};
}

/// Since when this VM may count tokens for its share of `organisation`.
time_point share_since(policy const& in_force,
    organisation_id const& organisation, owned_key const& key, time_point now);

/// VMs that keep an organisation's idempotency records: its owner first. A
/// record counts as written once the owner and one more have it; the third
/// lets two go at once.
inline constexpr std::size_t record_keepers = 3;

/// The key by which the keepers of records are ranked.
inline owned_key records_key(std::string const& organisation)
{
    return {owned_kind::organisation, organisation, nullptr, record_keepers};
}

/// The key by which the owner of a target is ranked.
inline owned_key target_key(
    target_id const& target, target_object const& object)
{
    return {owned_kind::target, target.text(), &object.data_centre, 1};
}

} // namespace pomelohinge

#endif
