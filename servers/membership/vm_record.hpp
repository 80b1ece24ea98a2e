#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_VM_RECORD_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_VM_RECORD_HPP

#include "core/identifiers.hpp"
#include "core/name_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelohinge {

/// What a VM says of itself.
enum class vm_standing {
    /// It does not know the configuration yet.
    starting,
    serving,
    /// It stops as planned: it finishes what runs.
    leaving,
};

template <>
inline constexpr auto name_table<vm_standing> = make_name_table<vm_standing>({
    {vm_standing::starting, "starting"},
    {vm_standing::serving, "serving"},
    {vm_standing::leaving, "leaving"},
});
static_assert(is_ordered<vm_standing>());

/// How a VM is reached and what it bears.
struct vm_record
{
    vm_id vm;
    data_centre_id data_centre;
    std::string peers_address;
    std::string callers_address;
    /// Tells two processes on the same VM apart.
    std::uint64_t incarnation = 0;
    vm_standing standing = vm_standing::starting;
    /// Cores that the VM may use, with fractions.
    double cores = 1;
    /// Bandwidth of the VM's link in megabits a second.
    double link_mbps = 1000;

    friend bool operator==(vm_record const&, vm_record const&) = default;
};

/// A VM as its data centre's hub sees it.
struct fleet_member
{
    vm_record record;
    /// It was heard of lately.
    bool alive = false;
    /// Callers are told to use it.
    bool entry = false;
    /// Requests a second that it takes from callers.
    double load = 0;

    friend bool operator==(fleet_member const&, fleet_member const&) = default;
};

/// All VMs that are known, sorted by data centre and name.
using fleet_members = std::vector<fleet_member>;

} // namespace pomelohinge

#endif
