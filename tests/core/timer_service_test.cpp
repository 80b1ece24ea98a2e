#include "core/timer_service.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class timer_service_test : public testing::Test
{
protected:
    void advance(duration by)
    {
        clock_.advance(by);
        timers_.run_due(clock_.now());
    }

    manual_clock clock_;
    timer_service timers_;
    int runs_ = 0;
};

TEST_F(timer_service_test, once_after_delay_runs_callback_once)
{
    auto const it = timers_.once(clock_.now(), 10ms, [this] { ++runs_; });
    advance(9ms);
    EXPECT_EQ(runs_, 0);
    advance(1ms);
    advance(100ms);
    EXPECT_EQ(runs_, 1);
    EXPECT_FALSE(timers_.next_due());
}

TEST_F(timer_service_test, every_after_pause_skips_missed_periods)
{
    auto const it = timers_.every(clock_.now(), 10ms, [this] { ++runs_; });
    advance(1000ms);
    EXPECT_EQ(runs_, 1);
    advance(10ms);
    EXPECT_EQ(runs_, 2);
}

TEST_F(timer_service_test,
    subscription_cancelled_in_its_callback_does_not_run_again)
{
    timer_service::subscription it;
    it = timers_.every(clock_.now(), 10ms, [&] {
        ++runs_;
        it.cancel();
    });
    advance(10ms);
    advance(10ms);
    EXPECT_EQ(runs_, 1);
}

TEST_F(timer_service_test, subscription_destroyed_before_due_time_never_runs)
{
    {
        auto const it = timers_.once(clock_.now(), 10ms, [this] { ++runs_; });
    }
    advance(20ms);
    EXPECT_EQ(runs_, 0);
}

} // namespace
} // namespace pomelohinge
