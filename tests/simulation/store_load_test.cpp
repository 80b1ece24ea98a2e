#include "servers/membership/hub_order.hpp"
#include "tests/servers/test_charts.hpp"
#include "tests/simulation/fake_vm.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

constexpr std::array<char const*, 3> data_centres{"east", "north", "west"};
/// Time within which a VM that reaches the store must have a new version.
constexpr duration max_delay = 2s;
/// Bound on the calls of the whole fleet to a store that does not answer, for
/// each second and each size of the fleet. Measured: up to 35.
constexpr std::uint64_t max_calls_per_second = 45;

/// A fleet without callers in three data centres. The parameter is its number
/// of VMs.
///
/// Guards against calls to a store that does not answer from each VM, and
/// against VMs that reach the store and keep an old configuration because they
/// leave its reads to others.
class store_load_test : public testing::TestWithParam<int>
{
protected:
    store_load_test()
        : charts_(load_all_charts()), store_(simulator_),
          checker_(invariant_bounds{}), context_{simulator_, store_, checker_,
                                            charts_, {}, {}, {}}
    {
        store_.set_configuration(configuration());
        target_record target;
        target.id = target_id("t1");
        target.incarnation = 1;
        target.service = service_id("shop");
        target.data_centre = data_centre_id("east");
        target.address = "t1";
        store_.put_target(target);
        for (int n = 0; n < GetParam(); ++n)
            add_vm(
                data_centres[static_cast<std::size_t>(n) % data_centres.size()],
                "vm-" + std::to_string(n));
        run_for(8s);
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

    std::set<std::string> all_vms() const
    {
        std::set<std::string> names;
        for (auto const& [name, it] : vms_)
            names.insert(name);
        return names;
    }

    std::set<std::string> all_candidates() const
    {
        std::set<std::string> names;
        for (auto const* it : data_centres) {
            auto const order = hub_order(members_, data_centre_id(it));
            for (std::size_t n = 0; n < likely_hub_count; ++n)
                names.insert(order[n]->record.vm.text());
        }
        return names;
    }

    /// A VM that is no candidate for the hub, of the last data centre.
    std::string last_vm() const
    {
        return hub_order(members_, data_centre_id(data_centres.back()))
            .back()
            ->record.vm.text();
    }

    /// Cuts a VM off from the store and all others, as after a loss of power.
    void switch_off(std::set<std::string> const& names)
    {
        for (auto const& off : names) {
            simulator_.block_link(off, "store");
            isolate(off);
        }
    }

    void isolate(std::string const& cut_off)
    {
        for (auto const& [name, it] : vms_) {
            simulator_.block_link(cut_off, name);
            simulator_.block_link(name, cut_off);
        }
    }

    /// The calls in each second of the next `seconds`.
    std::vector<std::uint64_t> count_calls(int seconds)
    {
        std::vector<std::uint64_t> counts;
        for (int n = 0; n < seconds; ++n) {
            auto const before = store_.calls();
            run_for(1s);
            counts.push_back(store_.calls() - before);
        }
        return counts;
    }

    /// Expects few calls in each second of an outage.
    void expect_few_calls(std::vector<std::uint64_t> const& counts)
    {
        auto const text = testing::PrintToString(counts);
        for (std::size_t n = 0; n < counts.size(); ++n)
            EXPECT_LE(counts[n], max_calls_per_second)
                << "second " << n << " of " << text;
        RecordProperty("calls", text);
    }

    bool is_informed(std::string const& name)
    {
        return vms_.at(name)->current_policy()->index->version ==
            store_.version();
    }

    /// The VMs, except `affected`, that lack the configuration in the store.
    std::set<std::string> uninformed_vms(std::set<std::string> const& affected)
    {
        std::set<std::string> names;
        for (auto const& [name, it] : vms_)
            if (!affected.contains(name) && !is_informed(name))
                names.insert(name);
        return names;
    }

    chart_list charts_;
    event_simulator simulator_{1};
    fake_store store_;
    invariant_checker checker_;
    fleet_context context_;
    fleet_members members_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
};

TEST_P(store_load_test, unavailable_store_gets_few_calls_and_is_found_again)
{
    store_.set_unavailable_for(all_vms());
    expect_few_calls(count_calls(12));
    store_.set_configuration(configuration());
    store_.set_unavailable_for({});
    run_for(max_delay);
    EXPECT_EQ(uninformed_vms({}), std::set<std::string>());
}

TEST_P(store_load_test, silent_store_gets_few_calls)
{
    store_.set_unresponsive(true);
    expect_few_calls(count_calls(12));
}

TEST_P(store_load_test, unavailable_store_gets_few_calls_without_any_hub)
{
    auto const off = all_candidates();
    switch_off(off);
    store_.set_unavailable_for(all_vms());
    expect_few_calls(count_calls(12));
    store_.set_configuration(configuration());
    store_.set_unavailable_for({});
    run_for(max_delay);
    EXPECT_EQ(uninformed_vms(off), std::set<std::string>());
}

TEST_P(store_load_test, change_arrives_when_all_hubs_are_off)
{
    auto const off = all_candidates();
    store_.set_configuration(configuration());
    switch_off(off);
    for (int n = 0; n < 3; ++n) {
        run_for(max_delay);
        EXPECT_EQ(uninformed_vms(off), std::set<std::string>()) << n;
        store_.set_configuration(configuration());
    }
}

TEST_P(store_load_test, change_arrives_when_all_hubs_are_refused)
{
    auto const refused = all_candidates();
    store_.set_configuration(configuration());
    store_.set_unavailable_for(refused);
    for (int n = 0; n < 3; ++n) {
        run_for(max_delay);
        EXPECT_EQ(uninformed_vms(refused), std::set<std::string>()) << n;
        store_.set_configuration(configuration());
    }
}

TEST_P(store_load_test, vm_that_is_cut_off_from_others_has_a_change)
{
    auto const cut_off = last_vm();
    auto others = all_vms();
    others.erase(cut_off);
    store_.set_unavailable_for(others);
    isolate(cut_off);
    run_for(5s);
    store_.set_configuration(configuration());
    run_for(max_delay);
    EXPECT_TRUE(is_informed(cut_off));
}

/// The VMs are tried in turn, so the delay of the only one that reaches the
/// store is bounded by the time for all turns.
TEST_P(store_load_test, only_vm_that_reaches_the_store_informs_the_fleet)
{
    store_.set_unavailable_for(all_vms());
    run_for(5s);
    auto others = all_vms();
    others.erase(last_vm());
    store_.set_configuration(configuration());
    store_.set_unavailable_for(others);
    run_for(std::max<duration>(max_delay, GetParam() * 55ms + 500ms));
    EXPECT_EQ(uninformed_vms({}), std::set<std::string>());
    // From then on, each change arrives in time.
    for (int n = 0; n < 5; ++n) {
        store_.set_configuration(configuration());
        run_for(max_delay + 230ms * (n % 2));
        EXPECT_EQ(uninformed_vms({}), std::set<std::string>()) << n;
    }
}

INSTANTIATE_TEST_SUITE_P(vms, store_load_test, testing::Values(12, 120, 300));

} // namespace
} // namespace pomelohinge::simulation
