#include "servers/dispatch/target_dispatcher.hpp"

#include "core/invariant.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class dispatch_test : public testing::Test
{
protected:
    dispatch_test() : dispatcher_(2) { dispatcher_.set_limit(2, now()); }

    time_point now() const { return clock_.now(); }

    dispatch_verdict submit(std::string const& organisation)
    {
        return dispatcher_.submit(
            ++last_, organisation_id(organisation), now() + 1s, now(), step_);
    }

    manual_clock clock_;
    target_dispatcher dispatcher_;
    dispatch_step step_;
    ticket last_ = 0;
};

TEST_F(dispatch_test, submit_beyond_slots_waits_and_starts_in_turn)
{
    EXPECT_EQ(submit("a"), dispatch_verdict::run);
    EXPECT_EQ(submit("a"), dispatch_verdict::run);
    EXPECT_EQ(submit("a"), dispatch_verdict::queued);
    EXPECT_EQ(submit("a"), dispatch_verdict::queued);
    EXPECT_EQ(submit("b"), dispatch_verdict::queued);
    EXPECT_EQ(dispatcher_.finish(1, now()).start, std::vector<ticket>{3});
    EXPECT_EQ(dispatcher_.finish(2, now()).start, std::vector<ticket>{5});
    EXPECT_EQ(dispatcher_.running(), 2u);
    EXPECT_EQ(invariant_violations(), 0u);
}

TEST_F(dispatch_test, submit_to_full_queue_drops_the_newest_of_the_largest)
{
    for (int it = 0; it < 10; ++it)
        submit("flood");
    EXPECT_EQ(submit("flood"), dispatch_verdict::full);
    EXPECT_EQ(submit("calm"), dispatch_verdict::queued);
    EXPECT_EQ(step_.dropped, std::vector<ticket>{10});
}

TEST_F(dispatch_test, submit_to_closed_target_is_refused)
{
    dispatcher_.set_limit(0, now());
    EXPECT_EQ(submit("a"), dispatch_verdict::closed);
}

TEST_F(dispatch_test, limit_of_zero_drops_the_queue_and_lets_run_on)
{
    submit("a");
    submit("a");
    submit("a");
    auto const step = dispatcher_.set_limit(0, now());
    EXPECT_EQ(step.dropped, std::vector<ticket>{3});
    EXPECT_EQ(dispatcher_.running(), 2u);
}

TEST_F(dispatch_test, waiter_whose_deadline_passed_is_dropped_not_started)
{
    submit("a");
    submit("a");
    submit("a");
    clock_.advance(2s);
    auto const step = dispatcher_.finish(1, now());
    EXPECT_TRUE(step.start.empty());
    EXPECT_EQ(step.dropped, std::vector<ticket>{3});
}

TEST_F(dispatch_test, cancelled_waiter_never_starts)
{
    submit("a");
    submit("a");
    submit("a");
    EXPECT_TRUE(dispatcher_.cancel(3));
    EXPECT_FALSE(dispatcher_.cancel(1));
    EXPECT_TRUE(dispatcher_.finish(1, now()).start.empty());
}

} // namespace
} // namespace pomelohinge
