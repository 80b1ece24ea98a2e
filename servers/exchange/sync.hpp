#ifndef POMELOHINGE_SERVERS_EXCHANGE_SYNC_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_SYNC_HPP

#include "servers/exchange/report_changes.hpp"
#include "servers/membership/vm_record.hpp"
#include "servers/rollouts/rollout_decision.hpp"
#include "servers/targets/target_mirror.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge {

/// The text of a configuration and its version in the store. Versions only
/// increase; 0 means that there is no configuration.
struct configuration_document
{
    std::uint64_t version = 0;
    std::shared_ptr<std::string const> text;
};

/// Data centres that operators took out of service, as of a store revision.
struct data_centre_closures
{
    std::uint64_t revision = 0;
    std::vector<data_centre_id> closed;
    store_era era;

    bool is_before(data_centre_closures const& other) const
    {
        return std::tie(era, revision) < std::tie(other.era, other.revision);
    }

    friend bool operator==(
        data_centre_closures const&, data_centre_closures const&) = default;
};

/// The role in which a VM sends a sync question.
enum class sync_relation {
    /// A VM to the hub of its own data centre.
    member,
    /// A hub to the hub of another data centre.
    hub,
    /// A VM that reads or tries to read the store, since no hub has recent
    /// data, to the others of its data centre. Only says what it has.
    read_notice,
    /// A VM that lacks what a `read_notice` offers to its sender. The reply has
    /// the store's data only.
    read_request,
    /// A VM that looks for its hub, or a hub to a VM that it does not hear of.
    /// The reply has the receiver's own row of the member list only.
    probe,
};

template <>
inline constexpr auto
    name_table<sync_relation> = make_name_table<sync_relation>({
        {sync_relation::member, "member"},
        {sync_relation::hub, "hub"},
        {sync_relation::read_notice, "read_notice"},
        {sync_relation::read_request, "read_request"},
        {sync_relation::probe, "probe"},
    });
static_assert(is_ordered<sync_relation>());

/// Time that a reply may take beyond the long poll timeout of its question.
inline constexpr duration sync_reply_timeout = std::chrono::milliseconds(500);

/// Whether a reply is found missing so late that this process itself must have
/// been paused, which says nothing of the other VM.
inline bool was_paused_meanwhile(
    duration long_poll_timeout, time_point asked_at, time_point now)
{
    constexpr duration max_own_delay = std::chrono::milliseconds(500);
    return now - asked_at >
        long_poll_timeout + sync_reply_timeout + max_own_delay;
}

/// A VM's report to a hub, with the versions of the state that it already
/// holds, so that the hub can answer with what is missing.
struct sync_question
{
    vm_record from;
    sync_relation relation = sync_relation::member;
    std::uint64_t configuration_version = 0;
    target_position targets;
    rollout_position rollouts;
    /// Position of its copy of the closed data centres, which are not sent.
    data_centre_closures closures;
    /// Time since the read of the store that returned this configuration;
    /// `duration::max()` if there was none.
    duration read_age = duration::max();
    /// Member list that the sender holds: the incarnation of the hub that sent
    /// it and its sequence number there.
    std::uint64_t members_source = 0;
    std::uint64_t members_sequence = 0;
    /// The sender is not an entry and takes hardly any requests from callers.
    bool is_idle = false;
    /// How long the hub may delay the answer until there are updates (long
    /// poll); zero requests an immediate answer.
    duration long_poll_timeout{};
    /// The hub marks the sender as not alive if its next question does not
    /// arrive within this time.
    duration liveness_timeout{};
    traffic_report report;
    /// In place of `report`, from a hub that has a budget for what it sends to
    /// other data centres.
    std::optional<report_changes> changes;
};

/// A hub's answer: everything that the sender of the question lacks.
struct sync_reply
{
    /// False if no answer arrived; the other members are not set then.
    bool reached = false;
    /// Incarnation of the hub, and its sequence number of the member list.
    std::uint64_t members_source = 0;
    std::uint64_t members_sequence = 0;
    std::optional<fleet_members> members;
    /// `members` lacks those that the sender of the question holds already.
    bool members_are_changes = false;
    /// The text is null if the sender already holds this version.
    configuration_document configuration;
    /// Time since the last read of the store that returned this configuration;
    /// `duration::max()` if there was none.
    duration read_age = duration::max();
    /// False while the hub's own reads of the store fail.
    bool store_reached = true;
    std::optional<target_changes> targets;
    std::optional<data_centre_closures> closures;
    std::optional<rollout_decisions> rollouts;
    /// Sum of the reports of all VMs but the sender.
    traffic_report others;
    /// `others` is left out, because this hub sends it with its own questions.
    bool report_omitted = false;
    /// The state of the sender's report that this hub holds, if the question
    /// had changes of it. A hub of an earlier version sets none.
    std::optional<report_position> confirmed;
};

} // namespace pomelohinge

#endif
