#ifndef POMELOHINGE_SERVERS_CONTROL_PROBE_SCHEDULE_HPP
#define POMELOHINGE_SERVERS_CONTROL_PROBE_SCHEDULE_HPP

#include "servers/control/hub_selector.hpp"
#include "servers/limits/token_bucket.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pomelohinge {

/// Decides which VMs this one probes.
///
/// Without probes a VM would find out one after the other, each by a timeout,
/// that the VMs before the next hub are gone. It probes several at a time, four
/// times as many in each round, so that any number of them can be lost at once.
/// A hub also probes VMs that it does not hear of: one that would come before
/// it may have returned, and one that does not know it may act as a second hub.
///
/// All probes together are limited to a rate, whatever the size of the fleet.
class probe_schedule
{
public:
    explicit probe_schedule(hub_selector& selector) : selector_(selector) {}

    /// The VMs to probe now. They count as in flight until `end`.
    std::vector<vm_record> begin(fleet_members const& members,
        vm_record const& self, bool is_hub, time_point now);

    /// Ends the probe of a VM.
    void end(vm_id const& vm) { in_flight_.erase(vm); }

private:
    struct search_round
    {
        std::size_t size = 0;
        std::size_t left = 0;
    };

    using vm_order = std::vector<fleet_member const*>;

    /// The VMs of a data centre in hub order, and what this VM asks them for.
    struct data_centre_view
    {
        data_centre_id data_centre;
        vm_order order;
        /// Null for another data centre.
        vm_record const* self;

        bool is_own() const { return self != nullptr; }
        vm_id self_id() const { return is_own() ? self->vm : vm_id(); }
    };

    void probe_unheard(data_centre_view const& it);
    void search_hub(fleet_members const& members, data_centre_view const& it);
    void probe_skipped(data_centre_view const& it, vm_id const& hub);
    void probe_next(data_centre_view const& it, vm_id const& hub);

    /// Adds a probe unless one is in flight or the rate is used up. Returns
    /// whether it did.
    bool add(vm_record const& vm);
    std::size_t count_in_flight(vm_order const& order) const;
    /// The number of probes that the current round may still send. The next
    /// round, which is larger, starts when all of the last one have ended.
    std::size_t& probes_left(data_centre_view const& it);

    hub_selector& selector_;
    std::set<vm_id> in_flight_;
    /// The current round in each data centre that is searched.
    std::map<data_centre_id, search_round> rounds_;
    std::optional<token_bucket> rate_;
    time_point serving_since_{};
    // The probes that `begin` collects, and its time.
    std::vector<vm_record> probes_;
    time_point now_{};
};

} // namespace pomelohinge

#endif
