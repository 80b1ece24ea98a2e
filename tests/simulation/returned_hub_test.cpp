#include "servers/membership/hub_order.hpp"
#include "tests/servers/test_charts.hpp"
#include "tests/simulation/fake_vm.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t vms_per_data_centre = 6;

/// A fleet without callers whose VMs are restarted as planned. The parameter
/// is the number of its data centres.
///
/// Guards against two hubs in one data centre, each with a part of its VMs:
/// reports, rates and entries are then those of a part.
class returned_hub_test : public testing::TestWithParam<std::size_t>
{
protected:
    returned_hub_test()
        : charts_(load_all_charts()), store_(simulator_),
          checker_(invariant_bounds{}), context_{simulator_, store_, checker_,
                                            charts_, {}, {}, {}}
    {
        store_.set_configuration(configuration());
        std::array<char const*, 3> const names{"east", "north", "west"};
        for (std::size_t it = 0; it < GetParam(); ++it)
            for (std::size_t n = 1; n <= vms_per_data_centre; ++n)
                add_vm(names[it], names[it] + ("-" + std::to_string(n)));
        run_for(10s);
    }

    void add_vm(std::string const& data_centre, std::string const& name)
    {
        vm_record record;
        record.vm = vm_id(name);
        record.data_centre = data_centre_id(data_centre);
        record.callers_address = name + ":80";
        record.peers_address = name + ":90";
        record.cores = 0.2;
        record.incarnation = ++last_incarnation_;
        members_.push_back({record, true, false, 0});
        start(record);
    }

    void start(vm_record const& record)
    {
        auto& it = vms_[record.vm.text()];
        it = std::make_unique<fake_vm>(context_, record);
        it->start();
    }

    void run_for(duration span)
    {
        simulator_.run_until(simulator_.now() + span);
    }

    /// The VM at position `n` of the hub order of the first data centre.
    vm_record candidate(std::size_t n) const
    {
        return hub_order(members_, data_centre_id("east"))[n]->record;
    }

    /// A name of a VM that comes before `other` in the hub order.
    std::string name_before(vm_record other) const
    {
        fleet_member first;
        first.record = other;
        fleet_member second = first;
        for (int n = 0;; ++n) {
            second.record.vm = vm_id("new-" + std::to_string(n));
            if (hub_order({first, second}, other.data_centre).front()->record ==
                second.record)
                return second.record.vm.text();
        }
    }

    /// Stops a VM as planned and starts it again, as another process.
    void restart(vm_record record)
    {
        auto& it = vms_.at(record.vm.text());
        it->plane().leave();
        run_for(3s);
        it.reset();
        run_for(1s);
        record.incarnation = ++last_incarnation_;
        start(record);
    }

    /// The hubs that the VMs of the first data centre follow.
    std::set<std::string> hubs()
    {
        std::set<std::string> names;
        for (auto const& [name, it] : vms_) {
            auto const hub = it->plane().status().hub;
            if (it->record().data_centre.text() == "east")
                names.insert(hub.empty() ? name : hub);
        }
        return names;
    }

    std::uint64_t last_incarnation_ = 0;
    event_simulator simulator_{1};
    chart_list charts_;
    fake_store store_;
    invariant_checker checker_;
    fleet_context context_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
    fleet_members members_;
};

TEST_P(returned_hub_test, hub_that_is_restarted_is_followed_again)
{
    restart(candidate(0));
    run_for(4s);
    EXPECT_EQ(hubs(), std::set{candidate(0).vm.text()});
}

TEST_P(returned_hub_test, vms_that_are_restarted_in_turn_follow_one_hub)
{
    for (std::size_t n = 0; n < vms_per_data_centre; ++n)
        restart(candidate(n));
    run_for(4s);
    EXPECT_EQ(hubs(), std::set{candidate(0).vm.text()});
}

TEST_P(returned_hub_test, candidates_that_are_restarted_at_once_follow_one_hub)
{
    for (std::size_t n = 0; n < likely_hub_count; ++n)
        vms_.at(candidate(n).vm.text())->plane().leave();
    run_for(2s);
    for (std::size_t n = 0; n < likely_hub_count; ++n)
        restart(candidate(n));
    run_for(4s);
    EXPECT_EQ(hubs(), std::set{candidate(0).vm.text()});
}

TEST_P(returned_hub_test, hub_that_does_not_return_leaves_its_successor)
{
    auto const gone = candidate(0).vm.text();
    vms_.at(gone)->plane().leave();
    run_for(3s);
    vms_.erase(gone);
    run_for(4s);
    EXPECT_EQ(hubs(), std::set{candidate(1).vm.text()});
}

/// Guards against VMs that count as gone because the list of their hub does not
/// change, so that callers are given no entries. A VM that ceases to be a hub
/// hears of its members within one long poll.
TEST_P(returned_hub_test, quiet_fleet_counts_no_vm_as_gone_for_long)
{
    constexpr duration step = 100ms;
    constexpr duration max_span = 1500ms;
    std::map<std::string, duration> gone;
    for (int n = 0; n < 400; ++n) {
        run_for(step);
        for (auto const& [name, it] : vms_)
            for (auto const& member : it->plane().status().members) {
                auto const pair = name + " " + member.record.vm.text();
                auto& span = gone[pair];
                span = member.alive ? duration::zero() : span + step;
                ASSERT_LE(span, max_span) << pair;
            }
    }
}

TEST_P(returned_hub_test, new_vm_that_comes_first_is_followed)
{
    auto const name = name_before(candidate(0));
    add_vm("east", name);
    run_for(6s);
    EXPECT_EQ(hubs(), std::set{name});
}

TEST_P(returned_hub_test, hub_replaced_under_another_name_is_followed)
{
    auto const name = name_before(candidate(0));
    vms_.erase(candidate(0).vm.text());
    run_for(3s);
    add_vm("east", name);
    run_for(6s);
    EXPECT_EQ(hubs(), std::set{name});
}

TEST_P(returned_hub_test, hub_that_returns_after_its_removal_is_followed)
{
    auto record = candidate(0);
    vms_.at(record.vm.text())->plane().leave();
    run_for(3s);
    vms_.erase(record.vm.text());
    run_for(70s);
    record.incarnation = ++last_incarnation_;
    start(record);
    run_for(6s);
    EXPECT_EQ(hubs(), std::set{record.vm.text()});
}

TEST_P(returned_hub_test, hub_that_returns_with_its_successor_is_followed)
{
    auto first = candidate(0);
    auto second = candidate(1);
    vms_.at(first.vm.text())->plane().leave();
    vms_.at(second.vm.text())->plane().leave();
    run_for(3s);
    vms_.erase(first.vm.text());
    vms_.erase(second.vm.text());
    run_for(1s);
    first.incarnation = ++last_incarnation_;
    second.incarnation = ++last_incarnation_;
    start(second);
    start(first);
    run_for(5s);
    EXPECT_EQ(hubs(), std::set{first.vm.text()});
}

TEST_P(returned_hub_test, hub_that_is_killed_while_leaving_is_followed_again)
{
    auto record = candidate(0);
    vms_.at(record.vm.text())->plane().leave();
    run_for(100ms);
    vms_.erase(record.vm.text());
    record.incarnation = ++last_incarnation_;
    start(record);
    run_for(6s);
    EXPECT_EQ(hubs(), std::set{record.vm.text()});
}

TEST_P(
    returned_hub_test, hub_cut_off_from_its_successor_for_a_while_is_followed)
{
    auto record = candidate(0);
    auto const first = record.vm.text();
    auto const second = candidate(1).vm.text();
    vms_.at(first)->plane().leave();
    run_for(3s);
    vms_.erase(first);
    simulator_.block_link(first, second);
    simulator_.block_link(second, first);
    run_for(1s);
    record.incarnation = ++last_incarnation_;
    start(record);
    run_for(20s);
    simulator_.unblock_link(first, second);
    simulator_.unblock_link(second, first);
    run_for(6s);
    EXPECT_EQ(hubs(), std::set{first});
}

TEST_P(returned_hub_test, hub_that_returns_while_the_store_is_away_is_followed)
{
    auto record = candidate(0);
    auto const first = record.vm.text();
    vms_.at(first)->plane().leave();
    run_for(3s);
    vms_.erase(first);
    for (auto const& [name, it] : vms_)
        simulator_.block_link(name, "store");
    run_for(3s);
    record.incarnation = ++last_incarnation_;
    start(record);
    run_for(10s);
    EXPECT_EQ(hubs(), std::set{first});
}

/// Guards against a new hub whose short list of VMs leaves callers without
/// entries. The mean over ten moments of the time in which a VM names fewer
/// than two entries.
TEST_P(returned_hub_test, restart_of_a_hub_leaves_callers_two_entries)
{
    constexpr duration step = 10ms;
    constexpr int moments = 10;
    std::map<std::string, duration> lacking;
    for (int n = 0; n < moments; ++n) {
        auto const first = candidate(0).vm.text();
        restart(candidate(0));
        for (int m = 0; m < 600; ++m) {
            run_for(step);
            for (auto const& [name, it] : vms_)
                if (name != first && it->entries().size() < 2)
                    lacking[name] += step;
        }
        run_for(n * 70ms);
    }
    duration longest{};
    for (auto const& [name, span] : lacking)
        longest = std::max(longest, span / moments);
    RecordProperty("lacking_ms", static_cast<int>(to_milliseconds(longest)));
    EXPECT_LE(longest, 300ms);
}

TEST_P(returned_hub_test, new_first_vm_leaves_callers_two_entries)
{
    constexpr duration step = 10ms;
    auto const name = name_before(candidate(0));
    add_vm("east", name);
    std::map<std::string, duration> lacking;
    for (int m = 0; m < 800; ++m) {
        run_for(step);
        for (auto const& [vm, it] : vms_)
            if (vm != name && it->entries().size() < 2)
                lacking[vm] += step;
    }
    duration longest{};
    for (auto const& [vm, span] : lacking)
        longest = std::max(longest, span);
    RecordProperty("lacking_ms", static_cast<int>(to_milliseconds(longest)));
    EXPECT_LE(longest, 1s);
}

/// Guards against the short list of VMs of one that has just started, which
/// hides other data centres from the hub that asks it.
TEST_P(returned_hub_test, return_of_a_hub_hides_no_vm_from_its_successor)
{
    auto record = candidate(0);
    auto const first = record.vm.text();
    auto const second = candidate(1).vm.text();
    vms_.at(first)->plane().leave();
    run_for(3s);
    vms_.erase(first);
    run_for(3s);
    record.incarnation = ++last_incarnation_;
    start(record);
    std::set<std::string> hidden;
    for (int n = 0; n < 500; ++n) {
        run_for(10ms);
        auto const status = vms_.at(second)->plane().status();
        for (auto const& it : status.members)
            if (status.hub.empty() && !it.alive &&
                it.record.data_centre != record.data_centre)
                hidden.insert(it.record.vm.text());
    }
    EXPECT_EQ(hidden, std::set<std::string>());
}

INSTANTIATE_TEST_SUITE_P(
    data_centres, returned_hub_test, testing::Values(1u, 3u));

} // namespace
} // namespace pomelohinge::simulation
