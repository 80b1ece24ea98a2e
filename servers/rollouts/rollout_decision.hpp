#ifndef POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_DECISION_HPP
#define POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_DECISION_HPP

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "core/text_map.hpp"
#include "servers/rollouts/rollout_chart.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelohinge {

/// Decisions that have not been renewed for this time no longer hold: the VM
/// that decides is gone or unreachable, and a version on trial gets nothing.
/// They are renewed every half second and pass two hubs, 0.25 s each.
inline constexpr duration max_decision_age = std::chrono::milliseconds(2500);

/// What all VMs do with the targets of a service while a version is rolled out.
struct rollout_decision
{
    service_id service;
    /// The new version.
    std::string version;
    rollout_state state = rollout_state::ordered;
    /// The share of the requests that the canary targets get.
    double share = 0;
    /// The targets of the new version that get requests in `canary`.
    std::vector<target_id> canaries;
    /// By route: an answer of the new version that takes longer is slow.
    text_map<duration> slow_limits;
    /// The earliest time at which the order can have been given.
    time_point started_at{};

    friend bool operator==(
        rollout_decision const&, rollout_decision const&) = default;
};

/// Identifies a set of decisions.
struct rollout_position
{
    /// Store revision of the list of orders that they are based on; 0 if there
    /// was none.
    std::uint64_t revision = 0;
    /// Incarnation of the VM that decided, and its sequence number.
    std::uint64_t decider = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(
        rollout_position const&, rollout_position const&) = default;
};

/// The decisions on all rollouts.
struct rollout_decisions
{
    rollout_position position;
    time_point decided_at{};
    std::vector<rollout_decision> items;

    /// The decision on a service, or null.
    rollout_decision const* find(service_id const& service) const;

    /// Whether a version is on trial, so that the decisions are renewed.
    bool has_open() const;
};

/// Whether the holder of `held` lacks something of `mine`.
bool has_newer(rollout_decisions const& mine, rollout_position const& held,
    time_point now);

/// Takes over decisions that another VM has sent. Of two VMs that decide at the
/// same time, the smaller share and the more cautious state apply, and a final
/// state is never left. Returns whether `held` has changed.
bool merge_decisions(
    rollout_decisions& held, rollout_decisions incoming, time_point now);

} // namespace pomelohinge

#endif
