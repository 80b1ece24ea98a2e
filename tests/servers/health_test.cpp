#include "charts/chart_list.hpp"
#include "servers/health/target_health.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class health_test : public testing::Test
{
protected:
    health_test() : rules_(load()), health_(rules_.target) {}

    static chart_list load()
    {
        findings found("charts");
        return std::move(*load_charts("", found));
    }

    void attempt(target_event event)
    {
        health_.record_attempt(event, usual_, clock_.now());
    }

    void report(std::uint32_t answers, std::uint32_t faults)
    {
        health_.record_report({0, answers, faults, 0}, usual_, clock_.now());
    }

    void pass(duration span)
    {
        clock_.advance(span);
        health_.tick(clock_.now());
    }

    /// Answers over a while, as a well target in use gives them.
    void prove()
    {
        for (int it = 0; it < 10; ++it) {
            attempt(target_event::answered);
            pass(200ms);
        }
    }

    chart_list rules_;
    manual_clock clock_;
    target_health health_;
    double usual_ = 0.01;
};

TEST_F(health_test, proved_target_after_one_failure_is_suspected)
{
    prove();
    attempt(target_event::faulted);
    EXPECT_EQ(health_.state(), target_state::suspect);
}

TEST_F(health_test, target_that_fails_twice_in_a_row_is_ejected)
{
    prove();
    attempt(target_event::faulted);
    attempt(target_event::faulted);
    EXPECT_EQ(health_.state(), target_state::ejected);
}

TEST_F(health_test, suspect_that_answers_is_trusted_again)
{
    prove();
    attempt(target_event::faulted);
    for (int it = 0; it < 3; ++it)
        attempt(target_event::answered);
    EXPECT_EQ(health_.state(), target_state::trusted);
}

TEST_F(health_test, failures_that_are_usual_for_the_service_condemn_nobody)
{
    usual_ = 0.55;
    prove();
    for (int it = 0; it < 20; ++it) {
        attempt(it % 2 == 0 ? target_event::faulted : target_event::answered);
        EXPECT_NE(health_.state(), target_state::ejected);
    }
}

TEST_F(health_test, ejected_target_is_tried_again_within_half_of_two_seconds)
{
    prove();
    for (int round = 0; round < 6; ++round) {
        attempt(target_event::faulted);
        attempt(target_event::faulted);
        ASSERT_EQ(health_.state(), target_state::ejected);
        pass(1s);
        ASSERT_EQ(health_.state(), target_state::suspect);
    }
}

TEST_F(health_test, suspect_of_which_nothing_is_heard_is_trusted_in_time)
{
    prove();
    attempt(target_event::faulted);
    pass(20s);
    EXPECT_EQ(health_.state(), target_state::trusted);
}

TEST_F(health_test, failures_that_others_report_eject_it)
{
    prove();
    report(0, 3);
    EXPECT_EQ(health_.state(), target_state::ejected);
}

TEST_F(health_test, target_that_fails_part_of_its_requests_is_not_cleared)
{
    prove();
    attempt(target_event::faulted);
    report(1, 1);
    EXPECT_NE(health_.state(), target_state::trusted);
}

TEST_F(health_test, doubt_grows_with_the_time_without_news)
{
    prove();
    auto const before = health_.failure_probability_at(clock_.now());
    clock_.advance(5s);
    EXPECT_GT(health_.failure_probability_at(clock_.now()), before);
    EXPECT_LT(health_.failure_probability_at(clock_.now() + 1h), 0.12);
}

} // namespace
} // namespace pomelohinge
