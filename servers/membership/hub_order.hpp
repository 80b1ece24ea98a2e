#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_HUB_ORDER_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_HUB_ORDER_HPP

#include "servers/membership/vm_record.hpp"

namespace pomelohinge {

/// Number of VMs at the start of the order of a data centre that are its hub in
/// most cases. They are probed more often than others when they do not answer,
/// and need not wait for their turn to read the store when one becomes the hub.
inline constexpr std::size_t likely_hub_count = 3;

/// The VMs of `data_centre` in their order of preference as its hub: those with
/// the most cores first, then by a hash of their names, so that all VMs compute
/// the same order without communication. Leaving VMs come last.
std::vector<fleet_member const*> hub_order(
    fleet_members const& members, data_centre_id const& data_centre);

/// Whether no data centre before this one by name has a live VM.
bool is_first_data_centre(
    fleet_members const& members, data_centre_id const& data_centre);

/// Whether `vm` is one of the first `likely_hub_count` in the hub order.
bool is_likely_hub(fleet_members const& members,
    data_centre_id const& data_centre, vm_id const& vm);

} // namespace pomelohinge

#endif
