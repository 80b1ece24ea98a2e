#ifndef POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_ORDER_HPP
#define POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_ORDER_HPP

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "core/name_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelohinge {

/// What the store says of a rollout.
enum class rollout_status {
    /// Nothing yet.
    none,
    running,
    succeeded,
    rolled_back,
};

template <>
inline constexpr auto
    name_table<rollout_status> = make_name_table<rollout_status>({
        {rollout_status::none, "none"},
        {rollout_status::running, "running"},
        {rollout_status::succeeded, "succeeded"},
        {rollout_status::rolled_back, "rolled_back"},
    });
static_assert(is_ordered<rollout_status>());

/// An operator's order to roll out a version of a service.
struct rollout_order
{
    /// Name of the entry in the store, and its revision.
    std::string name;
    std::uint64_t revision = 0;
    service_id service;
    std::string version;
    /// Time from the order until it must have ended.
    duration finish_by{};
    /// The status written for `version`.
    rollout_status status = rollout_status::none;

    friend bool operator==(
        rollout_order const&, rollout_order const&) = default;
};

/// All orders in the store, as of a revision.
struct rollout_list
{
    std::uint64_t revision = 0;
    std::vector<rollout_order> orders;
};

} // namespace pomelohinge

#endif
