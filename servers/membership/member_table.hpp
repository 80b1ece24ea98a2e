#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_MEMBER_TABLE_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_MEMBER_TABLE_HPP

#include "core/clock.hpp"
#include "servers/membership/vm_record.hpp"

#include <map>
#include <optional>
#include <set>

namespace pomelohinge {

/// The VMs known to this VM and their liveness. A hub fills the table from the
/// questions it receives; other VMs copy the hub's member list.
class member_table
{
public:
    explicit member_table(vm_record self);

    /// Records a question received from the VM itself. The VM counts as alive
    /// for `liveness_timeout`.
    void update_from_vm(vm_record const& record, double load,
        duration liveness_timeout, time_point now);

    /// Merges a member list received from a hub. Members that still count as
    /// alive from their own questions keep that newer state. Of this VM itself
    /// only the `entry` flag is updated.
    void update_from_hub(fleet_members const& members, time_point now);

    /// Records that the last list of a hub still applies: that of this VM's own
    /// hub, or of the hub of `data_centre`, which covers its own VMs.
    void confirm_listed(
        std::optional<data_centre_id> const& data_centre, time_point now);

    /// Adds the VMs in the store's list that are not in the table. They are
    /// not alive until a question or a hub's member list arrives.
    void add_listed(std::vector<vm_record> const& records, time_point now);

    /// Updates the record and load of this VM, which is always alive. `load`
    /// is in requests per second.
    void set_self(vm_record const& self, double load);

    /// Sets the VMs of a data centre that callers are given as entries. Returns
    /// whether that changed anything.
    bool set_entries(
        data_centre_id const& data_centre, std::set<vm_id> const& entries);

    /// Lets all VMs that are alive count as such for longer, after a pause of
    /// this process in which it could not hear of them.
    void postpone_expiry(duration pause);

    /// Marks VMs whose liveness timeout has passed as not alive. Returns
    /// whether that changed anything.
    bool expire(time_point now);

    /// Records that a VM does not answer, unless it still counts as alive from
    /// its own questions.
    void set_unreachable(vm_id const& vm, time_point now);

    /// Removes a VM; has no effect on this VM itself.
    void remove(vm_id const& vm);

    /// VMs that have not been alive for longer than `time`.
    std::vector<vm_record> unreachable_for(duration time, time_point now) const;

    /// The list is valid until the next change.
    fleet_members const& members() const;
    fleet_member const* find(vm_id const& vm) const;

    /// Increases with each change that other VMs need to receive.
    std::uint64_t sequence() const { return sequence_; }

private:
    struct member_state
    {
        fleet_member member;
        /// When the VM stops counting as alive.
        time_point expires_at{};
        /// When the last question of the VM itself arrived.
        time_point reported_at{};
        /// Alive in the last list of a hub, and when that was last confirmed.
        bool listed_alive = false;
        time_point listed_at{};
    };

    vm_id self_;
    std::map<std::pair<data_centre_id, vm_id>, member_state> members_;
    /// Data centre of each VM in `members_`.
    std::map<vm_id, data_centre_id> data_centres_;
    std::uint64_t sequence_ = 1;
    /// The list that `members` returns, made when it is needed.
    mutable fleet_members listed_;
    mutable bool is_list_current_ = false;

    void mark_changed();
    /// The state of the VM; moves a VM that changed its data centre.
    member_state& find_or_create(vm_record const& record);
};

} // namespace pomelohinge

#endif
