#include "servers/membership/hub_order.hpp"
#include "tests/servers/test_charts.hpp"
#include "tests/simulation/fake_vm.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

constexpr std::array<char const*, 3> data_centres{"east", "north", "west"};
constexpr std::size_t vms_per_data_centre = 6;
/// Time within which a VM that reaches the store must have a new version.
constexpr duration max_delay = 2s;

/// A fleet without callers whose hubs fail just after a change in the store.
/// The parameter is the time from a settled fleet to the change in units of
/// 100 ms, so that the change falls at each moment between two reads.
///
/// Guards against VMs that reach the store and keep an old configuration
/// because all candidates for the hub are down or turned away by the store.
class configuration_delay_test : public testing::TestWithParam<int>
{
protected:
    configuration_delay_test()
        : charts_(load_all_charts()), store_(simulator_),
          checker_(invariant_bounds{}), context_{simulator_, store_, checker_,
                                            charts_, {}, {}, {}}
    {
        store_.set_configuration(configuration());
        put_target("t1");
        put_target("t2");
        for (auto const* it : data_centres)
            for (std::size_t n = 1; n <= vms_per_data_centre; ++n)
                add_vm(it, std::string(it) + "-" + std::to_string(n));
        run_for(10s + GetParam() * 100ms);
    }

    void put_target(std::string const& name)
    {
        target_record record;
        record.id = target_id(name);
        record.incarnation = 1;
        record.service = service_id("shop");
        record.data_centre = data_centre_id("east");
        record.address = name;
        store_.put_target(record);
    }

    void add_vm(std::string const& data_centre, std::string const& name)
    {
        vm_record record;
        record.vm = vm_id(name);
        record.data_centre = data_centre_id(data_centre);
        record.callers_address = name + ":80";
        record.peers_address = name + ":90";
        record.cores = 0.2;
        record.incarnation = vms_.size() + 1;
        members_.push_back({record, true, false, 0});
        vms_[name] = std::make_unique<fake_vm>(context_, record);
        vms_[name]->start();
    }

    void run_for(duration span)
    {
        simulator_.run_until(simulator_.now() + span);
    }

    /// The candidate for the hub of a data centre at position `n`.
    std::string candidate(std::string const& data_centre, std::size_t n) const
    {
        return hub_order(members_, data_centre_id(data_centre))[n]
            ->record.vm.text();
    }

    /// The candidates at position `n` of all data centres.
    std::set<std::string> candidates(std::size_t n) const
    {
        std::set<std::string> names;
        for (auto const* it : data_centres)
            names.insert(candidate(it, n));
        return names;
    }

    std::set<std::string> all_candidates() const
    {
        std::set<std::string> names;
        for (std::size_t n = 0; n < likely_hub_count; ++n)
            names.merge(candidates(n));
        return names;
    }

    /// Cuts a VM off from the store and all others: as after a loss of power,
    /// nothing answers or refuses at its address.
    void switch_off(std::set<std::string> const& names)
    {
        for (auto const& off : names) {
            simulator_.block_link(off, "store");
            for (auto const& [name, it] : vms_) {
                simulator_.block_link(off, name);
                simulator_.block_link(name, off);
            }
        }
        affected_.insert(names.begin(), names.end());
    }

    void turn_away(std::set<std::string> const& names)
    {
        store_.set_unavailable_for(names);
        affected_.insert(names.begin(), names.end());
    }

    void freeze(std::set<std::string> const& names, duration span)
    {
        for (auto const& it : names)
            vms_.at(it)->pause_until(simulator_.now() + span);
        affected_.insert(names.begin(), names.end());
    }

    /// Changes the configuration, the targets and the closures in the store.
    void change_store()
    {
        store_.set_configuration(configuration());
        store_.remove_target(target_id("t1"));
        store_.set_closed("west", true);
    }

    /// The VMs that no fault affects and that lack a part of the change.
    std::set<std::string> uninformed_vms()
    {
        std::set<std::string> names;
        for (auto const& [name, it] : vms_) {
            auto const status = it->plane().status();
            auto const& policy = it->current_policy();
            bool const is_informed =
                status.configuration_version == store_.version() &&
                status.targets == 1 && policy->closed.size() == 1;
            if (!affected_.contains(name) && !is_informed)
                names.insert(name);
        }
        return names;
    }

    /// The VMs that read the store at some moment of `span`.
    std::set<std::string> readers_during(duration span)
    {
        std::set<std::string> names;
        auto const end = simulator_.now() + span;
        while (simulator_.now() < end) {
            run_for(10ms);
            for (auto const& [name, it] : vms_)
                if (it->plane().status().reads_store)
                    names.insert(name);
        }
        return names;
    }

    chart_list charts_;
    event_simulator simulator_{1};
    fake_store store_;
    invariant_checker checker_;
    fleet_context context_;
    fleet_members members_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
    /// VMs with a fault of their own.
    std::set<std::string> affected_;
};

TEST_P(configuration_delay_test, change_arrives_when_hubs_are_lost_or_refused)
{
    auto refused = candidates(0);
    refused.merge(candidates(1));
    // The VM that reads for the fleet works until the change.
    refused.erase(candidate(data_centres.front(), 0));
    turn_away(refused);
    run_for(1s);
    change_store();
    auto off = candidates(2);
    off.insert(candidate(data_centres.front(), 0));
    switch_off(off);
    run_for(max_delay);
    EXPECT_EQ(uninformed_vms(), std::set<std::string>());
}

TEST_P(configuration_delay_test, change_arrives_when_all_hubs_are_off)
{
    change_store();
    switch_off(all_candidates());
    run_for(max_delay);
    EXPECT_EQ(uninformed_vms(), std::set<std::string>());
}

TEST_P(configuration_delay_test, change_arrives_when_all_hubs_are_frozen)
{
    change_store();
    freeze(all_candidates(), 5s);
    run_for(max_delay);
    EXPECT_EQ(uninformed_vms(), std::set<std::string>());
}

TEST_P(configuration_delay_test, change_arrives_when_all_hubs_are_refused)
{
    change_store();
    turn_away(all_candidates());
    run_for(max_delay);
    EXPECT_EQ(uninformed_vms(), std::set<std::string>());
    // A later change arrives as well.
    store_.set_configuration(configuration());
    run_for(max_delay);
    EXPECT_EQ(uninformed_vms(), std::set<std::string>());
}

TEST_P(configuration_delay_test, working_fleet_has_one_reader)
{
    EXPECT_EQ(readers_during(10s),
        std::set<std::string>{candidate(data_centres.front(), 0)});
}

TEST_P(configuration_delay_test, lost_reader_causes_few_calls_to_the_store)
{
    switch_off({candidate(data_centres.front(), 0)});
    auto const before = store_.calls();
    run_for(20s);
    // Less than one call of each VM in a second.
    EXPECT_LT(store_.calls() - before, vms_.size() * 20);
}

TEST_P(configuration_delay_test, vms_stop_reading_when_hubs_are_back)
{
    turn_away(all_candidates());
    run_for(3s);
    store_.set_unavailable_for({});
    run_for(8s);
    EXPECT_EQ(readers_during(5s),
        std::set<std::string>{candidate(data_centres.front(), 0)});
}

INSTANTIATE_TEST_SUITE_P(
    moments, configuration_delay_test, testing::Range(0, 10));

} // namespace
} // namespace pomelohinge::simulation
