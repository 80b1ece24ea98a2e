#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_MEMBER_TABLE_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_MEMBER_TABLE_HPP

#include "core/clock.hpp"
#include "servers/membership/vm_record.hpp"

#include <map>
#include <set>

namespace pomelohinge {

/// The VMs that one VM knows, and when it heard of each. A hub fills it from
/// what VMs tell it; another VM takes the hub's word.
class member_table
{
public:
    explicit member_table(vm_record self);

    /// A VM told something itself; it is expected again within `patience`.
    void heard(vm_record const& record, double load, duration patience,
        time_point now);

    /// What the hub of this data centre, or another one's, says of VMs.
    /// Members of `own` are only taken while this VM is not their hub.
    void told(fleet_members const& members, time_point now);

    /// VMs that the store lists. They are not taken to be alive.
    void listed(std::vector<vm_record> const& records, time_point now);

    void set_self(vm_record const& self, double load);

    /// Sets who of a data centre is named to callers. Returns whether that
    /// changed anything.
    bool set_entries(
        data_centre_id const& data_centre, std::set<vm_id> const& entries);

    /// Takes VMs that were silent for longer than their patience for dead.
    /// Returns whether that changed anything.
    bool expire(time_point now);

    /// Forgets a VM.
    void forget(vm_id const& vm);

    /// VMs that were not heard of for so long.
    std::vector<vm_record> silent_for(duration span, time_point now) const;

    fleet_members members() const;
    fleet_member const* find(vm_id const& vm) const;

    /// Rises with each change that others should know.
    std::uint64_t sequence() const { return sequence_; }

private:
    struct entry
    {
        fleet_member member;
        time_point expires_at{};
        time_point heard_at{};
    };

    vm_id self_;
    std::map<std::pair<data_centre_id, vm_id>, entry> entries_;
    std::map<vm_id, data_centre_id> places_;
    std::uint64_t sequence_ = 1;

    entry& place(vm_record const& record);
};

} // namespace pomelohinge

#endif
