#include "charts/chart_list.hpp"
#include "servers/health/target_health.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class health_test : public testing::Test
{
protected:
    health_test() : charts_(load_all_charts()), health_(charts_.target.health)
    {
    }

    static chart_list load_all_charts()
    {
        findings found("charts");
        return std::move(*load_charts("", found));
    }

    void attempt(target_event event)
    {
        health_.record_attempt(event, baseline_, clock_.now());
    }

    void report(std::uint32_t answers, std::uint32_t faults)
    {
        health_.record_report({0, answers, faults, 0}, baseline_, clock_.now());
    }

    void advance(duration time)
    {
        clock_.advance(time);
        health_.tick(clock_.now());
    }

    /// Records answers over two seconds, as of a healthy target in use.
    void record_answers()
    {
        for (int it = 0; it < 10; ++it) {
            attempt(target_event::answered);
            advance(200ms);
        }
    }

    chart_list charts_;
    manual_clock clock_;
    target_health health_;
    service_baseline baseline_{{}, 0.01, 0};
};

TEST_F(health_test, healthy_target_after_one_failure_is_suspect)
{
    record_answers();
    attempt(target_event::faulted);
    EXPECT_EQ(health_.state(), target_state::suspect);
}

TEST_F(health_test, healthy_target_after_two_successive_failures_is_ejected)
{
    record_answers();
    attempt(target_event::faulted);
    attempt(target_event::faulted);
    EXPECT_EQ(health_.state(), target_state::ejected);
}

TEST_F(health_test, suspect_target_after_answers_is_trusted)
{
    record_answers();
    attempt(target_event::faulted);
    for (int it = 0; it < 3; ++it)
        attempt(target_event::answered);
    EXPECT_EQ(health_.state(), target_state::trusted);
}

TEST_F(health_test, target_that_fails_at_the_baseline_rate_is_not_ejected)
{
    baseline_.failure_rate = 0.55;
    record_answers();
    for (int it = 0; it < 20; ++it) {
        attempt(it % 2 == 0 ? target_event::faulted : target_event::answered);
        EXPECT_NE(health_.state(), target_state::ejected);
    }
}

TEST_F(health_test, ejected_target_after_one_second_is_suspect)
{
    record_answers();
    for (int round = 0; round < 6; ++round) {
        attempt(target_event::faulted);
        attempt(target_event::faulted);
        ASSERT_EQ(health_.state(), target_state::ejected);
        // Half of the time in which a recovered target must get requests.
        advance(1s);
        ASSERT_EQ(health_.state(), target_state::suspect);
    }
}

TEST_F(health_test, suspect_target_without_observations_becomes_trusted)
{
    record_answers();
    attempt(target_event::faulted);
    advance(20s);
    EXPECT_EQ(health_.state(), target_state::trusted);
}

TEST_F(health_test, recovery_delay_after_a_single_failure_is_short)
{
    record_answers();
    attempt(target_event::faulted);
    EXPECT_LE(health_.recovery_delay(baseline_), 2s);
}

TEST_F(health_test, recovery_delay_grows_with_the_time_of_failing)
{
    record_answers();
    attempt(target_event::faulted);
    attempt(target_event::faulted);
    auto const confirmed = health_.recovery_delay(baseline_);
    EXPECT_GT(confirmed, 2s);
    advance(10s);
    attempt(target_event::faulted);
    EXPECT_GE(health_.recovery_delay(baseline_), 10s);
    for (int it = 0; it < 4; ++it)
        attempt(target_event::answered);
    ASSERT_EQ(health_.state(), target_state::trusted);
    attempt(target_event::faulted);
    attempt(target_event::faulted);
    EXPECT_EQ(health_.recovery_delay(baseline_), confirmed);
}

/// Where healthy targets hardly ever fail, one failure tells as much as two.
TEST_F(health_test, recovery_delay_follows_what_single_failures_have_meant)
{
    record_answers();
    attempt(target_event::faulted);
    EXPECT_TRUE(health_.is_recovering(baseline_, clock_.now() + 1s));
    EXPECT_FALSE(health_.is_recovering(baseline_, clock_.now() + 2s));
    baseline_.confirmation_rate = 0.8;
    EXPECT_TRUE(health_.is_recovering(baseline_, clock_.now() + 3s));
}

TEST_F(health_test, first_failure_is_believed_as_far_as_others_were_confirmed)
{
    baseline_.failure_rate = 0.2;
    baseline_.confirmation_rate = 0.8;
    record_answers();
    attempt(target_event::faulted);
    EXPECT_GE(health_.failure_probability_at(clock_.now()), 0.8);
}

TEST_F(health_test, dropped_connection_counts_less_than_a_fault)
{
    record_answers();
    auto dropped = health_;
    dropped.record_attempt(target_event::dropped, baseline_, clock_.now());
    attempt(target_event::faulted);
    EXPECT_EQ(dropped.state(), target_state::trusted);
    EXPECT_LT(dropped.failure_probability_at(clock_.now()),
        health_.failure_probability_at(clock_.now()));
}

TEST_F(health_test, target_with_failures_in_reports_is_ejected)
{
    record_answers();
    report(0, 3);
    EXPECT_EQ(health_.state(), target_state::ejected);
}

TEST_F(health_test,
    suspect_target_with_answer_and_failure_in_report_is_not_trusted)
{
    record_answers();
    attempt(target_event::faulted);
    report(1, 1);
    EXPECT_NE(health_.state(), target_state::trusted);
}

TEST_F(health_test, failure_probability_without_observations_rises_to_the_prior)
{
    record_answers();
    auto const before = health_.failure_probability_at(clock_.now());
    clock_.advance(5s);
    EXPECT_GT(health_.failure_probability_at(clock_.now()), before);
    EXPECT_LT(health_.failure_probability_at(clock_.now() + 1h), 0.12);
}

} // namespace
} // namespace pomelohinge
