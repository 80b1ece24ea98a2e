#include "servers/exchange/fleet_reports.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// The aggregator of a hub that began a moment ago, with two other data
/// centres.
class restarted_hub_test : public testing::Test
{
protected:
    restarted_hub_test() { reports_.expect_remote_sources(2); }

    /// All of `sources` report for `length`; remote ones begin with "dc-".
    void report_for(duration length, std::vector<std::string> const& sources)
    {
        auto const end = clock_.now() + length;
        while (clock_.now() < end) {
            clock_.advance(200ms);
            for (auto const& it : sources)
                reports_.add_report(
                    it, it.starts_with("dc-"), traffic_report(), clock_.now());
        }
    }

    bool is_partial() { return reports_.report_for("vm-1", false).partial; }

    manual_clock clock_;
    report_aggregator reports_;
};

/// VMs took the demand of their own data centre for that of the fleet after a
/// restart of all VMs, and together granted more than the rate.
TEST_F(restarted_hub_test, sum_without_another_data_centre_is_partial)
{
    report_for(2s, {"vm-1", "vm-2", "dc-west"});
    EXPECT_TRUE(is_partial());
    report_for(400ms, {"vm-1", "vm-2", "dc-west", "dc-north"});
    EXPECT_FALSE(is_partial());
}

TEST_F(restarted_hub_test, sum_without_a_lost_data_centre_becomes_complete)
{
    report_for(5s, {"vm-1", "vm-2", "dc-west"});
    EXPECT_FALSE(is_partial());
}

TEST_F(restarted_hub_test, sum_for_another_data_centre_needs_no_third_one)
{
    report_for(2s, {"vm-1", "vm-2"});
    EXPECT_FALSE(reports_.report_for("dc-west", true).partial);
}

/// Loads of services as a hub passes them on.
class service_loads_test : public testing::Test
{
protected:
    void report(std::string const& source, std::string const& data_centre)
    {
        traffic_report it;
        it.loads[{"shop", data_centre}].slots = 3;
        it.loads[{"shop", data_centre}].reporters = 1;
        reports_.add_report(
            source, data_centre != "east", std::move(it), clock_.now());
    }

    service_load load_of(std::string const& data_centre)
    {
        reports_.expire(clock_.now());
        return reports_.report_for("vm-9", false).loads[{"shop", data_centre}];
    }

    manual_clock clock_;
    report_aggregator reports_;
};

TEST_F(service_loads_test, loads_are_summed_by_data_centre)
{
    report("vm-1", "east");
    report("vm-2", "east");
    report("dc-west", "west");
    EXPECT_EQ(load_of("east").reporters, 2u);
    EXPECT_EQ(load_of("west").reporters, 1u);
}

/// The age tells that a data centre is cut off. A VM that is gone must not make
/// its data centre look so.
TEST_F(service_loads_test, loads_of_another_data_centre_age_without_reports)
{
    report("vm-1", "east");
    report("dc-west", "west");
    for (int n = 0; n < 8; ++n) {
        clock_.advance(100ms);
        reports_.expire(clock_.now());
    }
    EXPECT_EQ(load_of("west").age, 800ms);
    EXPECT_EQ(load_of("east").age, duration::zero());
    report("dc-west", "west");
    EXPECT_EQ(load_of("west").age, duration::zero());
}

} // namespace
} // namespace pomelohinge
