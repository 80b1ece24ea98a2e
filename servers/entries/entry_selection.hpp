#ifndef POMELOHINGE_SERVERS_ENTRIES_ENTRY_SELECTION_HPP
#define POMELOHINGE_SERVERS_ENTRIES_ENTRY_SELECTION_HPP

#include "core/clock.hpp"
#include "servers/membership/vm_record.hpp"

#include <set>

namespace pomelohinge {

/// Decides which VMs of a data centre callers are told to use. It answers
/// the load that the data centre's callers bring: few VMs take all of it, so
/// that each sees enough of every target to judge it and keeps its
/// connections warm, and more are added as the load grows (subsetting, as in
/// an aperture balancer). The others stand by with everything they need.
class entry_selection
{
public:
    /// The entries among `members` of one data centre. VMs that are entries
    /// stay so while they live; hubs are the last to become entries.
    std::set<vm_id> choose(
        std::vector<fleet_member const*> const& hub_order, time_point now);

private:
    /// Capacity that the load needs, with the slack of the last seconds.
    double wanted_capacity(
        std::vector<fleet_member const*> const& members, time_point now);

    double peak_load_ = 0;
    time_point peak_at_{};
};

/// Requests a second that a VM is to take as an entry at most.
double entry_capacity(vm_record const& record);

} // namespace pomelohinge

#endif
