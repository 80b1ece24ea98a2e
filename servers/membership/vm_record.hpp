#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_VM_RECORD_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_VM_RECORD_HPP

#include "core/identifiers.hpp"
#include "core/name_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelohinge {

/// State that a VM reports about itself.
enum class vm_standing {
    /// It has no configuration or no list of targets yet.
    starting,
    serving,
    /// It shuts down and finishes its requests in flight.
    leaving,
};

template <>
inline constexpr auto name_table<vm_standing> = make_name_table<vm_standing>({
    {vm_standing::starting, "starting"},
    {vm_standing::serving, "serving"},
    {vm_standing::leaving, "leaving"},
});
static_assert(is_ordered<vm_standing>());

/// Addresses, state and resources of a VM.
struct vm_record
{
    vm_id vm;
    data_centre_id data_centre;
    std::string peers_address;
    std::string callers_address;
    /// Distinguishes processes on the same VM.
    std::uint64_t incarnation = 0;
    vm_standing standing = vm_standing::starting;
    /// Cores that the VM may use; may be fractional.
    double cores = 1;
    /// Bandwidth of the VM's link in megabits per second.
    double link_mbps = 1000;

    friend bool operator==(vm_record const&, vm_record const&) = default;
};

/// A VM and the state that the hub of its data centre adds.
struct fleet_member
{
    vm_record record;
    /// Its reports arrive within the expected time.
    bool alive = false;
    /// It is in the list of entries that callers are given.
    bool entry = false;
    /// Requests per second from callers.
    double load = 0;

    friend bool operator==(fleet_member const&, fleet_member const&) = default;
};

/// All known VMs, sorted by data centre and name.
using fleet_members = std::vector<fleet_member>;

} // namespace pomelohinge

#endif
