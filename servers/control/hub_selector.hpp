#ifndef POMELOHINGE_SERVERS_CONTROL_HUB_SELECTOR_HPP
#define POMELOHINGE_SERVERS_CONTROL_HUB_SELECTOR_HPP

#include "servers/membership/hub_candidate.hpp"
#include "servers/membership/hub_order.hpp"

#include <map>
#include <optional>

namespace pomelohinge {

/// Selects the hub of a data centre: the first VM in order that is not
/// unreachable, however many come before it. The age of its store data does not
/// count: while the store turns a hub away, others read it (`store_turns`) and
/// notify the hub.
class hub_selector
{
public:
    explicit hub_selector(chart<hub_candidate_chart> const& candidate)
        : candidate_chart_(candidate)
    {
    }

    /// The hub of the own data centre to use; nothing if that is this VM.
    std::optional<vm_record> choose(
        fleet_members const& members, vm_record const& self);

    /// The hub of another data centre to use: one that has lately sent a
    /// question as such, or else the first one; nothing if all are unreachable.
    std::optional<vm_record> choose_remote(fleet_members const& members,
        data_centre_id const& data_centre, time_point now);

    /// Whether a VM answered the last time it was asked.
    bool is_reached(vm_id const& vm)
    {
        return candidate(vm).state() == hub_candidate_state::reached;
    }

    /// Whether a VM did not answer the last time it was asked.
    bool is_unreachable(vm_id const& vm)
    {
        return candidate(vm).state() == hub_candidate_state::unreachable;
    }

    /// Records that a VM did not answer.
    void note_failure(vm_id const& vm, time_point now);

    /// Records that the hub of its data centre did not answer. Others may have
    /// been lost with it, so earlier answers of theirs do not count any more.
    void note_hub_failure(
        fleet_members const& members, vm_record const& hub, time_point now);

    /// Records an answer of a VM.
    void note_answer(vm_id const& vm, time_point now);

    /// Records a question of a VM, which it may have sent as a hub.
    void note_question(vm_id const& vm, bool is_hub, time_point now)
    {
        candidate(vm).record_question(is_hub, now);
    }

    /// What is known of a VM as a hub.
    hub_candidate& candidate(vm_id const& vm);

private:
    chart<hub_candidate_chart> const& candidate_chart_;
    std::map<vm_id, hub_candidate> candidates_;
};

} // namespace pomelohinge

#endif
