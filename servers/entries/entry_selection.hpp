#ifndef POMELOHINGE_SERVERS_ENTRIES_ENTRY_SELECTION_HPP
#define POMELOHINGE_SERVERS_ENTRIES_ENTRY_SELECTION_HPP

#include "core/clock.hpp"
#include "servers/membership/vm_record.hpp"

#include <set>

namespace pomelohinge {

/// Selects the VMs of a data centre that callers use as entries, by the load
/// of the data centre's callers. A small subset takes all of the load, so that
/// each entry sends enough requests to every target to estimate its failure
/// probability and to keep its connections open. More entries are added as the
/// load grows (subsetting, as in an aperture balancer). The other VMs are on
/// standby with the same data.
class entry_selection
{
public:
    /// Selects the entries among `members`, the VMs of one data centre in hub
    /// order (see `hub_order`), so that the hub is first. VMs with more
    /// capacity are preferred. Among VMs with the same capacity the hub comes
    /// last, and existing entries are preferred so that the selection is
    /// stable.
    std::set<vm_id> choose(
        std::vector<fleet_member const*> const& members, time_point now);

private:
    /// The capacity required for the peak load of the last seconds, in
    /// requests per second.
    double required_capacity(
        std::vector<fleet_member const*> const& members, time_point now);

    /// Highest load of the last seconds, in requests per second, and when it
    /// was reached.
    double peak_load_ = 0;
    time_point peak_at_{};
};

/// The maximum load that a VM should take as an entry, in requests per second.
double entry_capacity(vm_record const& record);

} // namespace pomelohinge

#endif
