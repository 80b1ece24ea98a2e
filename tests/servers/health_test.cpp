#include "charts/chart_list.hpp"
#include "servers/floors/floor_keeper.hpp"
#include "servers/health/target_keeper.hpp"

#include "core/invariant.hpp"

#include <gtest/gtest.h>
#include <random>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class health_test : public testing::Test
{
protected:
    static constexpr std::size_t slots = 6;

    health_test()
        : rules_(load_rules()), keeper_(rules_.target, slots, clock_.now())
    {
        keeper_.begin(clock_.now());
    }

    static chart_list load_rules()
    {
        findings found("charts");
        return std::move(*load_charts("", found));
    }

    void attempt(attempt_result result, duration latency = 20ms,
        double service_failures = 0)
    {
        clock_.advance(50ms);
        keeper_.attempted(
            {result, latency, 20ms, service_failures}, clock_.now());
    }

    void warm_up()
    {
        for (int it = 0; it < 500; ++it)
            attempt(attempt_result::answered);
        ASSERT_EQ(keeper_.state(), target_state::healthy);
    }

    /// Attempts of one kind until the target is suspected.
    int attempts_to_suspect(attempt_result result, duration latency = 20ms)
    {
        int n = 0;
        while (keeper_.state() != target_state::suspect && n < 1000) {
            attempt(result, latency);
            ++n;
        }
        return n;
    }

    chart_list rules_;
    manual_clock clock_;
    target_keeper keeper_;
};

TEST_F(health_test, new_target_runs_one_at_a_time_and_ramps_to_its_slots)
{
    EXPECT_EQ(keeper_.limit(), 1u);
    std::size_t last = 1;
    for (int it = 0; it < 500; ++it) {
        attempt(attempt_result::answered);
        EXPECT_LE(keeper_.limit(), last + 1);
        last = keeper_.limit();
    }
    EXPECT_EQ(keeper_.limit(), slots);
}

TEST_F(health_test, shedding_target_gets_half)
{
    warm_up();
    attempt(attempt_result::shed);
    EXPECT_EQ(keeper_.state(), target_state::warming);
    EXPECT_LE(keeper_.limit(), slots / 2);
}

TEST_F(health_test, failing_target_is_suspected_within_few_attempts)
{
    warm_up();
    EXPECT_LE(attempts_to_suspect(attempt_result::server_error), 6);
    EXPECT_TRUE(keeper_.take_wants().ejection);
}

TEST_F(health_test, slow_target_is_suspected_although_it_answers)
{
    warm_up();
    EXPECT_LE(attempts_to_suspect(attempt_result::answered, 300ms), 6);
}

TEST_F(health_test, failures_of_the_whole_service_condemn_nobody)
{
    warm_up();
    for (int it = 0; it < 200; ++it)
        attempt(attempt_result::server_error, 20ms, 0.8);
    EXPECT_EQ(keeper_.state(), target_state::healthy);
}

TEST_F(health_test, healthy_noise_over_an_hour_condemns_nobody)
{
    warm_up();
    std::mt19937_64 random(3);
    std::lognormal_distribution<double> spread(0, 0.5);
    std::bernoulli_distribution one_in_hundred(0.01);
    // Seven a second for an hour.
    for (int it = 0; it < 7 * 3600; ++it) {
        auto const slow = one_in_hundred(random) ? 20.0 : 1.0;
        attempt(attempt_result::answered,
            std::chrono::duration_cast<duration>(
                20ms * (spread(random) * slow)));
        ASSERT_NE(keeper_.state(), target_state::suspect) << it;
    }
}

TEST_F(health_test, ejected_target_comes_back_by_probes_and_is_distrusted)
{
    warm_up();
    attempts_to_suspect(attempt_result::connection_lost);
    keeper_.floor_answered(true, clock_.now());
    EXPECT_EQ(keeper_.state(), target_state::ejected);
    EXPECT_EQ(keeper_.limit(), 0u);
    auto const first = keeper_.probation();
    clock_.advance(first);
    keeper_.tick(clock_.now());
    ASSERT_EQ(keeper_.state(), target_state::probing);
    for (int it = 0; it < 3; ++it)
        keeper_.probed(true, clock_.now());
    EXPECT_EQ(keeper_.state(), target_state::warming);
    EXPECT_EQ(keeper_.limit(), 1u);
    EXPECT_LE(attempts_to_suspect(attempt_result::connection_lost), 2);
    keeper_.floor_answered(true, clock_.now());
    EXPECT_GT(keeper_.probation(), first);
}

TEST_F(health_test, refused_ejection_lets_the_target_run_on)
{
    warm_up();
    attempts_to_suspect(attempt_result::server_error);
    keeper_.floor_answered(false, clock_.now());
    EXPECT_EQ(keeper_.state(), target_state::warming);
    EXPECT_GT(keeper_.limit(), 0u);
}

TEST_F(health_test, drained_target_takes_nothing_and_comes_back_cold)
{
    warm_up();
    keeper_.set_drained(true, clock_.now());
    EXPECT_EQ(keeper_.limit(), 0u);
    keeper_.set_drained(false, clock_.now());
    EXPECT_EQ(keeper_.limit(), 1u);
}

class floor_test : public testing::Test
{
protected:
    floor_test() : keeper_(floor_object{50})
    {
        keeper_.configure(floor_object{50},
            {{target_id("a"), 6}, {target_id("b"), 6}, {target_id("c"), 6},
                {target_id("d"), 6}});
    }

    void report_all()
    {
        for (auto const* it : {"a", "b", "c", "d"})
            keeper_.report({target_id(it), 6, 6, false}, clock_.now());
    }

    floor_verdict ask(char const* target)
    {
        return keeper_.ask(target_id(target), clock_.now());
    }

    manual_clock clock_;
    floor_keeper keeper_;
};

TEST_F(floor_test, ask_before_all_reported_is_not_granted)
{
    keeper_.report({target_id("a"), 6, 6, false}, clock_.now());
    EXPECT_EQ(ask("a"), floor_verdict::not_known);
}

TEST_F(floor_test, ask_at_the_same_moment_stops_at_the_floor)
{
    report_all();
    EXPECT_EQ(ask("a"), floor_verdict::granted);
    EXPECT_EQ(ask("b"), floor_verdict::granted);
    EXPECT_EQ(ask("c"), floor_verdict::below_floor);
    EXPECT_EQ(invariant_violations(), 0u);
}

TEST_F(floor_test, report_sent_before_the_grant_does_not_undo_it)
{
    report_all();
    ask("a");
    ask("b");
    report_all();
    EXPECT_EQ(ask("c"), floor_verdict::below_floor);
}

TEST_F(floor_test, cold_targets_count_with_what_they_bear)
{
    report_all();
    keeper_.report({target_id("d"), 6, 1, false}, clock_.now());
    keeper_.report({target_id("c"), 6, 1, false}, clock_.now());
    EXPECT_EQ(ask("a"), floor_verdict::below_floor);
}

TEST_F(floor_test, returned_target_makes_room_for_another)
{
    report_all();
    ask("a");
    ask("b");
    keeper_.give_back(target_id("a"));
    EXPECT_EQ(ask("c"), floor_verdict::granted);
}

} // namespace
} // namespace pomelohinge
