#include "servers/queueing/deadline_choice.hpp"

#include "servers/queueing/load_share.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// One service with targets of two slots, a short route of requests that must
/// run once and a long one of requests that may be repeated.
class deadline_choice_test : public testing::Test
{
protected:
    deadline_choice_test()
    {
        for (int it = 0; it < 40; ++it) {
            load_.add_holding_time(route_id("short"), 100ms);
            load_.add_holding_time(route_id("long"), 2s);
        }
    }

    target_view& add_trusted(std::int64_t free_slots)
    {
        target_view it;
        it.failure_probability = 0.02;
        it.slots = 2;
        it.free_slots = free_slots;
        it.in_flight = it.slots - free_slots;
        it.load = 0.5 * static_cast<double>(it.in_flight + 1);
        it.accepts_requests = it.local = it.in_use = true;
        it.is_idle = it.in_flight == 0;
        targets_.push_back(it);
        return targets_.back();
    }

    /// Adds a target of whose slots the others know, with none in use from
    /// here.
    target_view& add_known(std::int64_t free_slots)
    {
        auto& it = add_trusted(free_slots);
        it.free_slots_known_elsewhere = free_slots;
        it.in_flight = 0;
        return it;
    }

    /// Adds a target that failed last and is not used.
    target_view& add_failing(duration unobserved_for, double probability)
    {
        auto& it = add_trusted(2);
        it.state = target_state::suspect;
        it.failure_probability = probability;
        it.last_failed = it.is_confirmed = true;
        it.in_use = false;
        it.recovery_delay = 7s;
        it.unobserved_for = unobserved_for;
        return it;
    }

    /// Records arrivals for three seconds before now.
    void arrive(std::string const& route, std::int64_t priority, bool retryable,
        int per_second)
    {
        for (int it = 0; it < 3 * per_second; ++it)
            load_.add_arrival(route_id(route), priority, retryable,
                retryable ? 8s : 1s, now_ - 3s + it * 1s / per_second);
    }

    /// Records ends of attempts at trusted targets for three seconds.
    void end_attempts(int per_second)
    {
        for (int it = 0; it < 3 * per_second; ++it)
            load_.add_trusted_end(now_ - 3s + it * 1s / per_second);
    }

    request_view short_request() const
    {
        request_view it;
        it.route = route_id("short");
        it.goal_at = now_ + 1s;
        it.deadline_at = now_ + 2500ms;
        return it;
    }

    request_view long_request() const
    {
        request_view it;
        it.route = route_id("long");
        it.priority = 3;
        it.retryable = true;
        it.goal_at = now_ + 8s;
        it.deadline_at = now_ + 12s;
        return it;
    }

    std::optional<target_choice> choose(request_view const& request)
    {
        auto views = targets_;
        subject_.set_targets(views, load_, service_, now_);
        return subject_.choose(
            request, excluded_, [](std::size_t) { return true; }, random_);
    }

    time_point now_{1h};
    service_demand load_;
    service_view service_{.floor = 0.7, .failing_share = 0.3};
    std::vector<target_view> targets_;
    excluded_targets excluded_;
    deadline_choice subject_;
    std::mt19937_64 random_{1};
};

TEST_F(deadline_choice_test, once_only_request_takes_a_free_trusted_slot)
{
    add_failing(1s, 0.9);
    add_trusted(1);
    auto const it = choose(short_request());
    ASSERT_TRUE(it);
    EXPECT_EQ(it->position, 1);
    EXPECT_EQ(it->cause, choice_cause::trusted);
}

/// Such requests went to targets known to fail while the slots of trusted ones
/// came free every few milliseconds.
TEST_F(deadline_choice_test,
    once_only_request_waits_while_trusted_slots_come_free_in_time)
{
    add_trusted(0);
    add_failing(1s, 0.9);
    end_attempts(20);
    EXPECT_FALSE(choose(short_request()));
    EXPECT_GT(subject_.chance_of_waiting(short_request()), 0.9);
}

TEST_F(deadline_choice_test,
    once_only_request_goes_to_a_suspect_if_no_slot_comes_free_in_time)
{
    add_trusted(0);
    add_failing(8s, 0.4);
    arrive("long", 3, true, 5);
    end_attempts(2);
    auto request = short_request();
    request.ahead = 20;
    auto const it = choose(request);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->position, 1);
    EXPECT_EQ(it->cause, choice_cause::better_than_waiting);
}

TEST_F(deadline_choice_test, repeatable_request_probes_a_suspect_that_is_due)
{
    add_trusted(2);
    add_failing(3s, 0.6);
    arrive("long", 3, true, 5);
    auto const it = choose(long_request());
    ASSERT_TRUE(it);
    EXPECT_EQ(it->position, 1);
    EXPECT_EQ(it->cause, choice_cause::probe);
}

TEST_F(deadline_choice_test, suspect_that_is_not_due_gets_no_probe)
{
    add_trusted(2);
    add_failing(1s, 0.9);
    arrive("long", 3, true, 5);
    auto const it = choose(long_request());
    ASSERT_TRUE(it);
    EXPECT_EQ(it->position, 0);
}

/// A request without time for another attempt would fail with the probe.
TEST_F(
    deadline_choice_test, request_without_time_for_another_attempt_is_no_probe)
{
    add_trusted(2);
    add_failing(3s, 0.6);
    arrive("long", 3, true, 5);
    auto request = long_request();
    request.goal_at = now_ + 3s;
    auto const it = choose(request);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->position, 0);
}

TEST_F(deadline_choice_test, long_repeatable_requests_probe_before_short_ones)
{
    add_trusted(2);
    add_failing(3s, 0.6);
    arrive("long", 3, true, 5);
    arrive("short", 3, true, 5);
    auto request = short_request();
    request.priority = 3;
    request.retryable = true;
    auto const it = choose(request);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->position, 0);
}

TEST_F(
    deadline_choice_test, floor_is_kept_by_repeatable_requests_if_there_are_any)
{
    service_.is_failing = true;
    add_trusted(2);
    for (int it = 0; it < 5; ++it)
        add_failing(500ms, 0.3);
    arrive("long", 3, true, 5);
    arrive("short", 0, false, 5);
    auto const once_only = choose(short_request());
    ASSERT_TRUE(once_only);
    EXPECT_EQ(once_only->cause, choice_cause::trusted);
    auto const repeatable = choose(long_request());
    ASSERT_TRUE(repeatable);
    EXPECT_EQ(repeatable->cause, choice_cause::floor);
}

/// Long requests that could wait took the last slots, and urgent ones had none.
TEST_F(deadline_choice_test, last_slots_are_kept_free_for_urgent_requests)
{
    for (int it = 0; it < 10; ++it)
        add_trusted(0);
    add_trusted(1);
    arrive("short", 0, false, 40);
    arrive("long", 3, true, 5);
    end_attempts(40);
    EXPECT_FALSE(choose(long_request()));
    auto const urgent = choose(short_request());
    ASSERT_TRUE(urgent);
    EXPECT_EQ(urgent->position, 10);
}

TEST_F(deadline_choice_test, nothing_is_kept_free_from_a_starved_priority)
{
    for (int it = 0; it < 10; ++it)
        add_trusted(0);
    add_trusted(1);
    arrive("short", 0, false, 40);
    arrive("long", 3, true, 5);
    auto request = long_request();
    request.is_starved = true;
    EXPECT_TRUE(choose(request));
}

/// Threads that all know of the same free slots sent to the same target.
TEST_F(deadline_choice_test, threads_prefer_different_targets_while_crowded)
{
    for (int it = 0; it < 8; ++it)
        add_known(1);
    load_.add_report(200, now_);
    service_.share = 0.5;
    service_.circle_position = 0.1;
    auto const first = choose(short_request());
    service_.circle_position = 0.6;
    auto const second = choose(short_request());
    ASSERT_TRUE(first && second);
    EXPECT_NE(first->position, second->position);
}

/// The preference for near targets exceeded the cost of the other data centre.
TEST_F(deadline_choice_test, local_target_is_preferred_while_crowded)
{
    add_known(1);
    for (int it = 0; it < 8; ++it)
        add_known(1).local = false;
    load_.add_report(200, now_);
    for (auto const position : {0.1, 0.4, 0.9}) {
        service_.circle_position = position;
        auto const it = choose(short_request());
        ASSERT_TRUE(it);
        EXPECT_EQ(it->position, 0);
    }
}

TEST_F(deadline_choice_test, thread_that_has_its_part_of_crowded_slots_waits)
{
    for (int it = 0; it < 8; ++it)
        add_trusted(1).free_slots_known_elsewhere = 1;
    load_.add_report(200, now_);
    service_.share = 0.5;
    end_attempts(40);
    EXPECT_FALSE(choose(short_request()));
}

TEST_F(deadline_choice_test, slot_freed_here_is_preferred_to_one_that_all_know)
{
    for (int it = 0; it < 7; ++it)
        add_known(2);
    add_trusted(1).free_slots_known_elsewhere = 0;
    load_.add_report(200, now_);
    service_.circle_position = 0.5;
    auto const it = choose(short_request());
    ASSERT_TRUE(it);
    EXPECT_EQ(it->position, 7);
}

TEST(wait_estimate_test, chance_falls_with_requests_ahead_and_rises_with_time)
{
    wait_estimate it{10, 0};
    EXPECT_NEAR(it.chance_within(100ms), 0.632, 0.001);
    EXPECT_GT(it.chance_within(1s), 0.999);
    it.ahead = 9;
    EXPECT_NEAR(it.chance_within(1s), 0.542, 0.001);
    EXPECT_LT(it.chance_within(300ms), 0.01);
    it.ahead = 200;
    EXPECT_LT(it.chance_within(10s), 0.001);
    EXPECT_GT(it.chance_within(30s), 0.999);
    EXPECT_EQ(it.chance_within(-1s), 0);
    EXPECT_EQ((wait_estimate{0, 0}.chance_within(1s)), 0);
}

TEST(holding_times_test, quantiles_are_those_of_the_latest_attempts)
{
    holding_times it;
    EXPECT_EQ(it.median(), 0ms);
    for (int n = 0; n < 100; ++n)
        it.add(10s);
    for (int n = 0; n < 32; ++n)
        it.add(n * 10ms);
    EXPECT_EQ(it.median(), 160ms);
    EXPECT_EQ(it.high_quantile(), 280ms);
}

/// A thread's part must follow what callers send, or one that has few slots
/// would count on fewer still.
TEST(load_share_test, share_follows_arrivals_and_is_moved_towards_an_equal_one)
{
    time_point const now{1h};
    load_share it;
    it.set_elsewhere(0, 3);
    EXPECT_DOUBLE_EQ(it.at(now), 0.25);
    it.set_elsewhere(90, 3);
    EXPECT_LT(it.at(now), 0.25);
    for (int n = 0; n < 300; ++n)
        it.add_arrival(now - 10s + n * 33ms);
    EXPECT_NEAR(it.at(now), 0.75 * 0.25 + 0.25 * 0.25, 0.03);
}

} // namespace
} // namespace pomelohinge
