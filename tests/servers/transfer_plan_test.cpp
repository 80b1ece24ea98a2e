#include "servers/transfer/transfer_plan.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// Loads of one service whose requests hold a slot for 0.2 s.
class transfer_plan_test : public testing::Test
{
protected:
    static constexpr double hold = 0.2;

    /// Sets the slots of a data centre, and how many of them its callers need.
    service_load& set(std::string const& name, double slots, double needed)
    {
        auto& it = loads_[{"shop", name}];
        it.arrivals = {{1, needed / hold}};
        it.completions = 100;
        it.busy = it.completions * hold;
        it.slots = slots;
        it.reporters = 1;
        return it;
    }

    transfer_plan plan(std::string const& own = "east")
    {
        return plan_transfers(loads_, "shop", own);
    }

    double share(std::string const& to, std::string const& own = "east")
    {
        auto const made = plan(own);
        auto const it = made.shares.find(to);
        return it == made.shares.end() ? 0 : it->second;
    }

    service_loads loads_;
};

TEST_F(transfer_plan_test, data_centre_that_is_not_short_sends_nothing)
{
    set("east", 100, 85);
    set("west", 100, 10);
    EXPECT_TRUE(plan().shares.empty());
}

TEST_F(transfer_plan_test, what_is_missing_goes_to_the_one_with_free_slots)
{
    set("east", 100, 120);
    set("west", 100, 20);
    EXPECT_NEAR(share("west"), 30.0 / 120, 1e-9);
}

/// A data centre that takes more than it has free becomes short itself and
/// sends its requests back.
TEST_F(transfer_plan_test, no_more_is_sent_than_is_free)
{
    set("east", 100, 200);
    set("west", 100, 70);
    EXPECT_NEAR(share("west") * 200, 10, 1e-9);
}

TEST_F(transfer_plan_test, nobody_sends_when_all_are_short)
{
    for (auto const* it : {"east", "west", "north"})
        set(it, 100, 95);
    for (auto const* it : {"east", "west", "north"})
        EXPECT_TRUE(plan(it).shares.empty());
}

TEST_F(transfer_plan_test, data_centre_that_refuses_requests_gets_none)
{
    set("east", 100, 120);
    set("west", 100, 20).refused = 10;
    EXPECT_EQ(share("west"), 0);
}

TEST_F(transfer_plan_test, data_centre_with_a_long_queue_gets_none)
{
    set("east", 100, 120);
    set("west", 100, 20).queued = 30;
    EXPECT_EQ(share("west"), 0);
}

TEST_F(transfer_plan_test, free_slots_are_divided_by_what_each_lacks)
{
    set("east", 100, 150);
    set("north", 100, 110);
    set("west", 100, 40);
    EXPECT_NEAR(share("west", "east") * 150, 30, 1e-9);
    EXPECT_NEAR(share("west", "north") * 110, 10, 1e-9);
}

/// Each reporter of a data centre reports all its slots.
TEST_F(transfer_plan_test, slots_are_the_mean_over_the_reporters)
{
    set("east", 100, 120);
    auto& west = set("west", 300, 20);
    west.reporters = 3;
    EXPECT_NEAR(share("west") * 120, 30, 1e-9);
}

TEST_F(transfer_plan_test,
    free_slots_without_contact_are_divided_equally_and_decay)
{
    set("east", 100, 300);
    set("north", 100, 10);
    auto& west = set("west", 100, 30);
    west.age = 1001ms;
    EXPECT_NEAR(share("west") * 300, 25, 0.1);
    west.age = 1250ms;
    EXPECT_NEAR(share("west") * 300, 12.5, 0.1);
    west.age = 1500ms;
    EXPECT_EQ(share("west"), 0);
}

TEST_F(transfer_plan_test, more_urgent_requests_are_served_here_first)
{
    auto& east = set("east", 100, 0);
    east.arrivals = {{1, 80 / hold}, {2, 60 / hold}};
    set("west", 100, 10);
    auto const made = plan();
    EXPECT_EQ(made.served_here.at(1), 1);
    EXPECT_NEAR(made.served_here.at(2), 20.0 / 60, 1e-9);
}

TEST_F(transfer_plan_test, data_centre_without_slots_sends_all_that_is_free)
{
    set("east", 0, 50);
    set("west", 100, 20);
    EXPECT_NEAR(share("west"), 1, 1e-9);
}

} // namespace
} // namespace pomelohinge
