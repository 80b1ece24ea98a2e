#include "servers/exchange/grant_counts.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class grant_counts_test : public testing::Test
{
protected:
    /// `per_second` requests in each of the last five seconds.
    static grant_counts steady(double per_second = 10)
    {
        grant_counts it;
        for (std::size_t n = 0; n < it.within_steps.size(); ++n)
            it.within_steps[n] = per_second * static_cast<double>(n + 1);
        it.within_window = 5 * per_second;
        return it;
    }
};

TEST_F(grant_counts_test, grants_within_an_age_between_steps_are_interpolated)
{
    EXPECT_DOUBLE_EQ(steady().granted_within(0s), 0);
    EXPECT_DOUBLE_EQ(steady().granted_within(500ms), 5);
    EXPECT_DOUBLE_EQ(steady().granted_within(4500ms), 45);
    EXPECT_DOUBLE_EQ(steady().granted_within(9s), 50);
}

TEST_F(grant_counts_test, advance_removes_the_oldest_grants)
{
    auto it = steady();
    it.advance(2s);
    EXPECT_DOUBLE_EQ(it.granted_within(1s), 0);
    EXPECT_DOUBLE_EQ(it.granted_within(3s), 10);
    EXPECT_DOUBLE_EQ(it.within_window, 30);
}

class grant_history_test : public grant_counts_test
{
protected:
    static constexpr duration period = 200ms;

    void report_steadily(double per_second, duration span)
    {
        for (duration elapsed{}; elapsed < span; elapsed += period) {
            now_ += period;
            history_.report(steady(per_second), now_);
        }
    }

    time_point now_{1h};
    grant_history history_;
};

TEST_F(grant_history_test, steady_reports_count_as_reported)
{
    report_steadily(10, 20s);
    EXPECT_DOUBLE_EQ(history_.at(now_), 50);
}

TEST_F(grant_history_test, report_of_fewer_sources_keeps_earlier_grants)
{
    report_steadily(10, 20s);
    // Six of ten sources are no longer included; the others continue.
    report_steadily(4, period);
    EXPECT_NEAR(history_.at(now_), 50, 3);
    report_steadily(4, 1s);
    EXPECT_NEAR(history_.at(now_), 44, 3);
    report_steadily(4, 5s);
    EXPECT_DOUBLE_EQ(history_.at(now_), 20);
}

TEST_F(grant_history_test, sources_that_report_again_are_counted_once)
{
    report_steadily(10, 20s);
    report_steadily(4, 600ms);
    report_steadily(10, period);
    EXPECT_NEAR(history_.at(now_), 50, 5);
}

TEST_F(grant_history_test, grants_leave_the_window_when_reports_end)
{
    report_steadily(10, 20s);
    EXPECT_NEAR(history_.at(now_ + 3s), 20, 3);
    EXPECT_DOUBLE_EQ(history_.at(now_ + 6s), 0);
}

} // namespace
} // namespace pomelohinge
