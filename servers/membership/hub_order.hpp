#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_HUB_ORDER_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_HUB_ORDER_HPP

#include "servers/membership/vm_record.hpp"

namespace pomelohinge {

/// Number of VMs of a data centre that may become its hub. The first of them
/// that answers reads the store for the others and exchanges their reports.
inline constexpr std::size_t max_hub_candidates = 3;

/// The VMs of `data_centre` in their order of preference as its hub: those with
/// the most cores first, then by a hash of their names, so that all VMs compute
/// the same order without communication. Leaving VMs come last.
std::vector<fleet_member const*> hub_order(
    fleet_members const& members, data_centre_id const& data_centre);

/// Whether no data centre before this one by name has a live VM.
bool is_first_data_centre(
    fleet_members const& members, data_centre_id const& data_centre);

/// Whether `vm` may become the hub of `data_centre`.
bool is_hub_candidate(fleet_members const& members,
    data_centre_id const& data_centre, vm_id const& vm);

} // namespace pomelohinge

#endif
