#include "servers/rollouts/rollout_table.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

bool is_canary(rollout_decision const& decision, target_id const& target)
{
    return std::find(decision.canaries.begin(), decision.canaries.end(),
               target) != decision.canaries.end();
}

/// The role of a target of a service with a rollout. `is_fresh` is whether the
/// decision has been renewed lately.
rollout_role role_in_rollout(rollout_decision const& decision, bool is_fresh,
    target_record const& target)
{
    bool const is_new = target.version == decision.version;
    switch (decision.state) {
    case rollout_state::canary:
        if (!is_new)
            return rollout_role::open;
        return is_fresh && decision.share > 0 && is_canary(decision, target.id)
            ? rollout_role::canary
            : rollout_role::withheld;
    case rollout_state::switching:
        // Without news the success may be written, and the old targets be
        // gone, or the new version may have been found bad.
        return is_new || !is_fresh ? rollout_role::open
                                   : rollout_role::withheld;
    case rollout_state::succeeded:
        return rollout_role::open;
    case rollout_state::ordered:
    case rollout_state::rolling_back:
    case rollout_state::rolled_back:
        return is_new ? rollout_role::withheld : rollout_role::open;
    }
    return rollout_role::withheld;
}

} // namespace

void rollout_admission::admit_version(
    target_record const& target, rollout_decisions const& decisions)
{
    auto const* const decision = decisions.find(target.service);
    bool const is_named =
        decision != nullptr && decision->version == target.version;
    bool const is_replaced =
        decision != nullptr && decision->state == rollout_state::succeeded;
    // Its order, if there is one, would be in the list.
    bool const is_known = target.revision <= decisions.position.revision;
    if (is_named || is_replaced || !is_known)
        return;
    auto& memory = services_[target.service];
    if (!memory.rejected.contains(target.version))
        memory.allowed.insert(target.version);
}

void rollout_admission::admit(
    target_catalogue const& targets, rollout_decisions const& decisions)
{
    for (auto const& it : decisions.items) {
        auto& memory = services_[it.service];
        if (it.state != rollout_state::succeeded) {
            memory.rejected.insert(it.version);
            memory.allowed.erase(it.version);
            continue;
        }
        memory.rejected.merge(memory.allowed);
        memory.rejected.erase(it.version);
        memory.allowed = {it.version};
    }
    if (decisions.position.revision == 0)
        return;
    for (auto const& it : targets.records())
        admit_version(it, decisions);
}

/// If no version that is allowed has a target, as before the first list of
/// orders, the version of the oldest target is the one that was served before.
rollout_role rollout_admission::role_without_rollout(
    target_record const& target, target_catalogue const& targets) const
{
    static service_memory const nothing;
    auto const found = services_.find(target.service);
    auto const& memory = found == services_.end() ? nothing : found->second;
    if (memory.allowed.contains(target.version))
        return rollout_role::open;
    if (memory.rejected.contains(target.version))
        return rollout_role::withheld;
    auto const& records = targets.records();
    target_record const* oldest = nullptr;
    for (auto const at : targets.of_service(target.service.text())) {
        auto const& it = records[at];
        if (memory.allowed.contains(it.version))
            return rollout_role::withheld;
        bool const is_older =
            oldest == nullptr || it.incarnation < oldest->incarnation;
        if (is_older && !memory.rejected.contains(it.version))
            oldest = &it;
    }
    return oldest == nullptr || oldest->version == target.version
        ? rollout_role::open
        : rollout_role::withheld;
}

rollout_table rollout_admission::make_table(target_catalogue const& targets,
    rollout_decisions const& decisions, time_point now)
{
    admit(targets, decisions);
    bool const is_fresh = now - decisions.decided_at < max_decision_age;
    rollout_table table;
    for (auto const& it : decisions.items)
        if (!is_final(it.state))
            table.set_open(it.service,
                {it.version, is_fresh ? it.share : 0, it.slow_limits});
    for (auto const& it : targets.records()) {
        auto const* const decision = decisions.find(it.service);
        auto const role = decision == nullptr
            ? role_without_rollout(it, targets)
            : role_in_rollout(*decision, is_fresh, it);
        bool const is_other = decision != nullptr &&
            it.version != decision->version && role == rollout_role::open;
        table.set_role(
            it.id, is_other ? role_without_rollout(it, targets) : role);
    }
    return table;
}

} // namespace pomelohinge
