#ifndef POMELOHINGE_TESTS_SIMULATION_QUIET_FLEET_HPP
#define POMELOHINGE_TESTS_SIMULATION_QUIET_FLEET_HPP

#include "servers/membership/hub_order.hpp"
#include "tests/servers/test_charts.hpp"
#include "tests/simulation/fake_vm.hpp"

#include <algorithm>

namespace pomelohinge::simulation {

/// A fleet of VMs in virtual time without callers, whose VMs can be lost in
/// different ways.
class quiet_fleet
{
protected:
    explicit quiet_fleet(std::uint64_t seed = 1)
        : simulator_(seed), charts_(load_all_charts()), store_(simulator_),
          checker_(invariant_bounds{}), context_{simulator_, store_, checker_,
                                            charts_, {}, {}, {}}
    {
    }

    void add_vm(std::string const& data_centre, std::string const& name)
    {
        vm_record record;
        record.vm = vm_id(name);
        record.data_centre = data_centre_id(data_centre);
        record.callers_address = name + ":80";
        record.peers_address = name + ":90";
        record.cores = 0.2;
        members_.push_back({record, true, false, 0});
        start(record);
    }

    /// Starts a VM, or starts it again as another process.
    void start(vm_record record)
    {
        record.incarnation = ++last_incarnation_;
        auto& it = vms_[record.vm.text()];
        it = std::make_unique<fake_vm>(context_, record);
        it->start();
    }

    void start(std::string const& name)
    {
        auto const it = std::find_if(
            members_.begin(), members_.end(), [&](auto const& member) {
                return member.record.vm.text() == name;
            });
        start(it->record);
    }

    /// Ends the process of a VM; connections to it are refused.
    void kill(std::string const& name) { vms_.erase(name); }

    void run_for(duration span)
    {
        simulator_.run_until(simulator_.now() + span);
    }

    std::set<std::string> data_centres() const
    {
        std::set<std::string> names;
        for (auto const& it : members_)
            names.insert(it.record.data_centre.text());
        return names;
    }

    /// The VMs of a data centre in hub order, running or not.
    std::vector<std::string> order_of(std::string const& data_centre) const
    {
        std::vector<std::string> names;
        for (auto const* it : hub_order(members_, data_centre_id(data_centre)))
            names.push_back(it->record.vm.text());
        return names;
    }

    event_simulator simulator_;
    chart_list charts_;
    fake_store store_;
    invariant_checker checker_;
    fleet_context context_;
    /// All VMs that were ever added.
    fleet_members members_;
    /// Those that run.
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
    std::uint64_t last_incarnation_ = 0;
};

} // namespace pomelohinge::simulation

#endif
