#ifndef POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_TABLE_HPP
#define POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_TABLE_HPP

#include "servers/rollouts/rollout_decision.hpp"
#include "servers/targets/target_catalogue.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace pomelohinge {

/// What a target may get while versions are rolled out.
enum class rollout_role {
    /// Any request.
    open,
    /// Its part of the share on trial.
    canary,
    /// Nothing.
    withheld,
};

template <>
inline constexpr auto name_table<rollout_role> = make_name_table<rollout_role>({
    {rollout_role::open, "open"},
    {rollout_role::canary, "canary"},
    {rollout_role::withheld, "withheld"},
});
static_assert(is_ordered<rollout_role>());

/// The roles of all targets, for the traffic threads. Immutable.
class rollout_table
{
public:
    /// How a service with a rollout that has not ended is served.
    struct open_rollout
    {
        std::string version;
        double share = 0;
        text_map<duration> slow_limits;

        friend bool operator==(
            open_rollout const&, open_rollout const&) = default;
    };

    rollout_role role_of(target_id const& target) const
    {
        auto const it = roles_.find(target.text());
        return it == roles_.end() ? rollout_role::open : it->second;
    }

    /// The open rollout of a service, or null.
    open_rollout const* find(service_id const& service) const
    {
        auto const it = open_.find(service.text());
        return it == open_.end() ? nullptr : &it->second;
    }

    void set_role(target_id const& target, rollout_role role)
    {
        if (role != rollout_role::open)
            roles_[target.text()] = role;
    }
    void set_open(service_id const& service, open_rollout rollout)
    {
        open_[service.text()] = std::move(rollout);
    }

    friend bool operator==(
        rollout_table const&, rollout_table const&) = default;

private:
    /// Without the targets that are open.
    text_map<rollout_role> roles_;
    text_map<open_rollout> open_;
};

/// This VM's memory of the versions that it may send requests to. A version
/// that appears in the list of targets gets nothing before a list of the orders
/// has been read that is at least as new, since its order may not be known yet.
class rollout_admission
{
public:
    /// Returns the roles of the targets.
    rollout_table make_table(target_catalogue const& targets,
        rollout_decisions const& decisions, time_point now);

private:
    struct service_memory
    {
        /// Versions without a rollout, and those whose rollout has succeeded.
        std::set<std::string> allowed;
        /// Versions whose rollout has not succeeded, and those that another one
        /// has replaced.
        std::set<std::string> rejected;
    };

    void admit(
        target_catalogue const& targets, rollout_decisions const& decisions);
    void admit_version(
        target_record const& target, rollout_decisions const& decisions);
    rollout_role role_without_rollout(
        target_record const& target, target_catalogue const& targets) const;

    std::map<service_id, service_memory> services_;
};

} // namespace pomelohinge

#endif
