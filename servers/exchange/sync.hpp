#ifndef POMELOHINGE_SERVERS_EXCHANGE_SYNC_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_SYNC_HPP

#include "servers/exchange/fleet_reports.hpp"
#include "servers/membership/vm_record.hpp"
#include "servers/targets/target_mirror.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge {

/// A configuration as the store holds it. Versions rise; 0 means none.
struct configuration_document
{
    std::uint64_t version = 0;
    std::shared_ptr<std::string const> text;
};

/// Data centres that operators have taken out, as of a store revision.
struct data_centre_closures
{
    std::uint64_t revision = 0;
    std::vector<data_centre_id> closed;

    friend bool operator==(
        data_centre_closures const&, data_centre_closures const&) = default;
};

/// Who asks for a sync.
enum class sync_relation {
    /// A VM asks the hub of its data centre.
    member,
    /// A hub asks the hub of another data centre.
    hub,
};

template <>
inline constexpr auto
    name_table<sync_relation> = make_name_table<sync_relation>({
        {sync_relation::member, "member"},
        {sync_relation::hub, "hub"},
    });
static_assert(is_ordered<sync_relation>());

/// What a VM tells its hub, and what it knows already.
struct sync_question
{
    vm_record from;
    sync_relation relation = sync_relation::member;
    std::uint64_t configuration_version = 0;
    target_position targets;
    std::uint64_t closures_revision = 0;
    /// Which members are known: the hub's process and its sequence.
    std::uint64_t members_source = 0;
    std::uint64_t members_sequence = 0;
    /// The asker takes no requests from callers.
    bool is_idle = false;
    /// How long the answer may wait for news.
    duration long_poll_timeout{};
    /// Within which time the asker will ask again.
    duration liveness_timeout{};
    traffic_report report;
};

/// What a hub answers: everything that the asker lacks.
struct sync_reply
{
    /// False if no answer came; then the rest means nothing.
    bool reached = false;
    std::uint64_t members_source = 0;
    std::uint64_t members_sequence = 0;
    std::optional<fleet_members> members;
    configuration_document configuration;
    /// Time since the store was read and held this configuration; maximum if
    /// never.
    duration read_age = duration::max();
    /// False while the hub itself tries to read the store in vain.
    bool store_reached = true;
    std::optional<target_changes> targets;
    std::optional<data_centre_closures> closures;
    traffic_report others;
};

} // namespace pomelohinge

#endif
