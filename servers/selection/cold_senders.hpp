#ifndef POMELOHINGE_SERVERS_SELECTION_COLD_SENDERS_HPP
#define POMELOHINGE_SERVERS_SELECTION_COLD_SENDERS_HPP

#include "servers/membership/vm_record.hpp"
#include "servers/targets/target_catalogue.hpp"

#include <vector>

namespace pomelohinge {

/// Maximum number of VMs that may send to one cold target. Each VM limits its
/// rate separately, so only with few senders does the total hardly exceed what
/// the target can take.
inline constexpr std::size_t max_cold_senders = 2;

/// Returns the VMs that may send to `target` while it is cold. They are chosen
/// by rendezvous hashing among the live entries of the target's data centre, so
/// that all VMs agree without communication. If none of its entries is heard
/// of, they are still taken to send; if it has none at all, the entries of all
/// data centres are.
std::vector<vm_id> cold_senders(
    fleet_members const& members, target_record const& target);

} // namespace pomelohinge

#endif
