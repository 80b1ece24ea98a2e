#ifndef POMELOHINGE_SERVERS_CONTROL_HUB_SELECTOR_HPP
#define POMELOHINGE_SERVERS_CONTROL_HUB_SELECTOR_HPP

#include "core/clock.hpp"
#include "servers/membership/hub_order.hpp"

#include <map>
#include <optional>

namespace pomelohinge {

/// Selects the hub of a data centre: the first candidate in order that answers
/// with recently read store data, else the first that answers at all.
class hub_selector
{
public:
    /// The hub to use, or nothing if that is this VM or there is no candidate.
    /// `self` is empty for another data centre.
    std::optional<vm_record> choose(fleet_members const& members,
        data_centre_id const& data_centre, vm_id const& self,
        time_point now) const;

    /// A VM that has left and would come before `self` in the order if it had
    /// not. It may have started again, as the hub of its own part of the data
    /// centre, since VMs that follow another hub hear nothing of it.
    std::optional<vm_record> find_returned(fleet_members const& members,
        data_centre_id const& data_centre, vm_id const& self,
        time_point now) const;

    /// A VM that comes soon after `self` in the order and that this VM has not
    /// heard of lately. It may be a second hub, which does not know `self`.
    std::optional<vm_record> find_unheard(fleet_members const& members,
        data_centre_id const& data_centre, vm_id const& self,
        time_point now) const;

    /// Whether a candidate answered the last time it was asked.
    bool is_reached(vm_id const& vm) const { return state_of(vm).reached; }

    /// Records that a candidate did not answer.
    void note_failure(vm_id const& vm, time_point now);

    /// Records an answer of a candidate whose store data is `read_age` old.
    void note_answer(vm_id const& vm, duration read_age, time_point now);

private:
    struct candidate_state
    {
        bool reached = false;
        time_point unreachable_until{};
        time_point stale_until{};
    };

    candidate_state state_of(vm_id const& vm) const;

    std::map<vm_id, candidate_state> candidates_;
};

/// Staleness bound of the store data of a hub. The configuration is read every
/// 0.8 s and reaches another hub within half a second.
inline constexpr duration max_fresh_read_age = std::chrono::milliseconds(1400);

} // namespace pomelohinge

#endif
