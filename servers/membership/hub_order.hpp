#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_HUB_ORDER_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_HUB_ORDER_HPP

#include "servers/membership/vm_record.hpp"

namespace pomelohinge {

/// VMs of a data centre that may become its hub: the first of them that
/// answers reads the store for the others and passes on what they report.
inline constexpr std::size_t max_hub_candidates = 3;

/// The VMs of `data_centre` in the order in which they are to be its hub:
/// those that bear most first, then by a hash of their names, so that all
/// VMs agree without asking. VMs that leave come last.
std::vector<fleet_member const*> hub_order(
    fleet_members const& members, data_centre_id const& data_centre);

} // namespace pomelohinge

#endif
