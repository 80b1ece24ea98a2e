#include "tests/servers/placement_world.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// The load of docs/design/hard-load.md, Part 5.
request_kind settle(double factor = 1)
{
    return {"urgent", 80.4 * factor, 320ms, 1s, 2500ms, 0, false};
}

request_kind query(double factor = 1)
{
    return {"long", 51.3 * factor, 1900ms, 8s, 12s, 3, true};
}

class placement_load_test : public testing::TestWithParam<int>
{
protected:
    placement_world make(placement_mode mode, duration failing_for = 6s,
        double failing_share = 0.3) const
    {
        placement_world_settings settings;
        settings.mode = mode;
        constexpr std::uint64_t seed_of_12 = 1;
        constexpr std::uint64_t seed_of_34 = 2;
        settings.seed = GetParam() == 12 ? seed_of_12 : seed_of_34;
        settings.vms = static_cast<std::size_t>(GetParam());
        settings.failing_for = failing_for;
        settings.failing_share = failing_share;
        return placement_world(settings);
    }

    /// Runs the ordinary load and then the loaded day.
    placement_world run_loaded_day(
        placement_mode mode, duration failing_for = 6s) const
    {
        auto world = make(mode, failing_for);
        world.run({settle(), query()}, 10s);
        world.forget_results();
        world.run({settle(2.5), query(4)}, 30s);
        world.finish();
        return world;
    }

    static double served_share(kind_result const& it)
    {
        return (it.in_goal + it.late) / it.sent;
    }

    /// Value of the answers to callers, by the table of the page.
    static double value(placement_world const& world)
    {
        auto const urgent = world.result("urgent");
        auto const other = world.result("long");
        return 4.9 * urgent.in_goal + 0.59 * urgent.late +
            0.43 * other.in_goal + 0.19 * other.late;
    }

    static std::string describe(placement_world const& world)
    {
        std::string text;
        for (auto const* route : {"urgent", "long"}) {
            auto const it = world.result(route);
            text += fmt::format(
                "{}: sent {:.0f}, in goal {:.3f}, late {:.3f}, "
                "failed {:.3f}, refused {:.3f} ({:.3f} late), "
                "attempts {:.0f}, untrusted {:.3f}, shed "
                "{:.3f} ({:.3f} untrusted), unexpected faults {:.3f}\n",
                route, it.sent, it.in_goal / it.sent, it.late / it.sent,
                it.failed / it.sent, it.refused / it.sent,
                it.late_refusals / it.sent, it.attempts, it.untrusted_share(),
                it.shed / it.attempts, it.untrusted_shed / it.attempts,
                it.unexpected_faults / it.sent);
        }
        return text;
    }
};

/// Requests that must run once went to targets known to fail, because no
/// request waits while those have a free slot, and long requests held the slots
/// of the others.
TEST_P(placement_load_test,
    urgent_requests_on_a_loaded_day_are_served_better_than_by_earliest)
{
    auto const earliest = run_loaded_day(placement_mode::earliest);
    auto const by_deadline = run_loaded_day(placement_mode::by_deadline);
    auto const text = describe(earliest) + describe(by_deadline);
    RecordProperty("results", text);
    EXPECT_GE(by_deadline.result("urgent").goal_share(),
        earliest.result("urgent").goal_share() + 0.25)
        << text;
    EXPECT_GE(value(by_deadline), 1.6 * value(earliest)) << text;
    EXPECT_GE(served_share(by_deadline.result("long")),
        served_share(earliest.result("long")) - 0.03)
        << text;
}

/// The urgent requests alone need a quarter of the working targets' slots, but
/// long ones held them.
TEST_P(placement_load_test,
    urgent_requests_are_served_in_goal_while_the_failing_targets_are_known)
{
    auto const world = run_loaded_day(placement_mode::by_deadline, 0s);
    EXPECT_GE(world.result("urgent").goal_share(), 0.99) << describe(world);
}

TEST_P(placement_load_test, once_only_requests_rarely_go_to_failing_targets)
{
    auto const world = run_loaded_day(placement_mode::by_deadline);
    EXPECT_LE(world.result("urgent").untrusted_share(), 0.05)
        << describe(world);
}

/// Waiting for trusted targets must not keep those that have recovered unused.
TEST_P(placement_load_test, working_targets_on_a_loaded_day_stay_in_use)
{
    auto world = make(placement_mode::by_deadline);
    world.run({settle(), query()}, 10s);
    auto const from = world.now();
    world.run({settle(2.5), query(4)}, 30s);
    world.finish();
    EXPECT_GE(world.min_share_of_working_in_use(from, from + 30s),
        placement_world::floor);
}

TEST_P(placement_load_test, idle_service_is_served_as_before)
{
    for (auto const mode :
        {placement_mode::earliest, placement_mode::by_deadline}) {
        auto world = make(mode, 6s, 0);
        world.run({settle(0.1), query(0.1)}, 30s);
        world.finish();
        for (auto const* route : {"urgent", "long"}) {
            auto const it = world.result(route);
            EXPECT_GE(it.goal_share(), 0.995) << describe(world);
            EXPECT_LE(it.shed, 0.05 * it.attempts) << describe(world);
        }
    }
}

/// Refusals that come late keep their callers from trying elsewhere.
TEST_P(placement_load_test, refusals_on_a_loaded_day_come_at_once)
{
    auto const world = run_loaded_day(placement_mode::by_deadline);
    for (auto const* route : {"urgent", "long"}) {
        auto const it = world.result(route);
        EXPECT_LE(it.late_refusals, 0.03 * it.sent) << describe(world);
    }
}

/// Requests of the least urgent kind got nothing while urgent ones alone would
/// have filled all slots.
TEST_P(placement_load_test, least_urgent_requests_are_not_starved)
{
    auto world = make(placement_mode::by_deadline, 0s);
    world.run({settle(12), query(1)}, 30s);
    world.finish();
    auto const urgent = world.result("urgent");
    auto const other = world.result("long");
    EXPECT_GE(
        other.goal_share() + other.late / other.sent, 0.2 * urgent.goal_share())
        << describe(world);
}

INSTANTIATE_TEST_SUITE_P(fleets, placement_load_test, testing::Values(12, 34));

} // namespace
} // namespace pomelohinge
