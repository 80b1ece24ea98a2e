#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_VM_MONITOR_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_VM_MONITOR_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/membership/view.hpp"
#include "servers/membership/vm_chart.hpp"

#include <map>
#include <vector>

namespace pomelohinge {

/// What a watcher should do about VMs of its data centre.
struct monitor_wants
{
    /// VMs that were not heard: others are to be asked whether they reach
    /// them.
    std::vector<vm_record> ask_others;
    /// VMs that nobody reaches: to be removed from the view.
    std::vector<vm_record> remove;
};

/// Watches the VMs of one data centre by their heartbeats. It lives on the
/// control thread of a watcher.
class vm_monitor
{
public:
    explicit vm_monitor(chart<vm_chart> const& rules) : rules_(rules) {}

    /// Follows the view: new incarnations begin unheard, removed ones go.
    void follow(data_centre_view const& view, time_point now);

    /// Stops watching, as when this VM is no watcher any more.
    void clear() { watched_.clear(); }

    /// A heartbeat of that incarnation came, here or at another watcher.
    void heard(vm_id const& vm, std::uint64_t incarnation, time_point now);

    /// Another VM reaches it.
    void vouched(vm_id const& vm, time_point now);

    /// Runs timeouts and returns what they ask for.
    monitor_wants tick(time_point now);

    /// The state of `vm`; `gone` if it is not watched.
    vm_state state(vm_id const& vm) const;

private:
    struct watched_vm
    {
        vm_record record;
        chart_instance<vm_chart> life;
        time_point entered_at;
    };

    /// Collects what the chart asks for one VM.
    struct context
    {
        vm_record const& record;
        monitor_wants& wants;

        bool check(vm_guard) const { return true; }
        void perform(vm_action action);
    };

    void fire(
        watched_vm& it, vm_event event, time_point now, monitor_wants& wants);

    chart<vm_chart> const& rules_;
    std::map<vm_id, watched_vm> watched_;
};

} // namespace pomelohinge

#endif
