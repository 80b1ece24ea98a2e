#include "servers/membership/hub_order.hpp"
#include "tests/simulation/fake_vm.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t vms_per_data_centre = 6;

chart_list load_embedded_charts()
{
    findings found("charts");
    return std::move(*load_charts("", found));
}

/// A fleet without callers whose VMs are restarted as planned. The parameter
/// is the number of its data centres.
///
/// Guards against two hubs in one data centre, each with a part of its VMs:
/// reports, rates and entries are then those of a part.
class returned_hub_test : public testing::TestWithParam<std::size_t>
{
protected:
    returned_hub_test()
        : charts_(load_embedded_charts()), store_(simulator_),
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
    for (std::size_t n = 0; n < max_hub_candidates; ++n)
        vms_.at(candidate(n).vm.text())->plane().leave();
    run_for(2s);
    for (std::size_t n = 0; n < max_hub_candidates; ++n)
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

INSTANTIATE_TEST_SUITE_P(
    data_centres, returned_hub_test, testing::Values(1u, 3u));

} // namespace
} // namespace pomelohinge::simulation
