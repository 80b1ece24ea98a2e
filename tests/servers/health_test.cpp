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

    void attempt(target_event event) { health_.attempted(event, clock_.now()); }

    void pass(duration span)
    {
        clock_.advance(span);
        health_.tick(clock_.now());
    }

    chart_list rules_;
    manual_clock clock_;
    target_health health_;
};

TEST_F(health_test, target_after_one_failure_is_suspected_at_once)
{
    attempt(target_event::faulted);
    EXPECT_EQ(health_.state(), target_state::suspect);
}

TEST_F(health_test, suspect_after_two_answers_is_trusted_again)
{
    attempt(target_event::faulted);
    attempt(target_event::answered);
    EXPECT_EQ(health_.state(), target_state::suspect);
    attempt(target_event::answered);
    EXPECT_EQ(health_.state(), target_state::trusted);
}

TEST_F(health_test, suspect_after_a_second_failure_is_ejected)
{
    attempt(target_event::faulted);
    attempt(target_event::silent);
    EXPECT_EQ(health_.state(), target_state::ejected);
}

TEST_F(health_test, ejected_target_is_tried_again_within_two_seconds)
{
    for (int round = 0; round < 6; ++round) {
        attempt(target_event::faulted);
        attempt(target_event::faulted);
        ASSERT_EQ(health_.state(), target_state::ejected);
        pass(2s);
        ASSERT_EQ(health_.state(), target_state::suspect);
    }
}

TEST_F(health_test, failure_that_others_report_makes_it_suspect)
{
    target_report news;
    news.faults = 3;
    health_.reported(news, clock_.now());
    EXPECT_EQ(health_.state(), target_state::suspect);
}

TEST_F(health_test, answers_that_others_report_clear_a_suspect)
{
    attempt(target_event::faulted);
    target_report news;
    news.answers = 4;
    health_.reported(news, clock_.now());
    health_.reported(news, clock_.now());
    EXPECT_EQ(health_.state(), target_state::trusted);
}

TEST_F(health_test, target_that_fails_part_of_its_requests_is_not_cleared)
{
    attempt(target_event::faulted);
    target_report news;
    news.answers = 4;
    news.faults = 1;
    health_.reported(news, clock_.now());
    EXPECT_EQ(health_.state(), target_state::ejected);
}

} // namespace
} // namespace pomelohinge
