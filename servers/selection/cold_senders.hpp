#ifndef POMELOHINGE_SERVERS_SELECTION_COLD_SENDERS_HPP
#define POMELOHINGE_SERVERS_SELECTION_COLD_SENDERS_HPP

#include "servers/membership/vm_record.hpp"
#include "servers/targets/target_catalogue.hpp"

#include <vector>

namespace pomelohinge {

/// VMs that may send to one cold target at a time, so that what each sends
/// on its own adds up to little more than the target bears.
inline constexpr std::size_t most_cold_senders = 2;

/// Which VMs may send to `target` while it is cold: the first of the
/// entries of its data centre by a hash of both names, on which all VMs
/// agree without asking. Without an entry there, those of all data centres.
std::vector<vm_id> cold_senders(
    fleet_members const& members, target_record const& target);

} // namespace pomelohinge

#endif
