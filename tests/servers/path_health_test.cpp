#include "servers/health/path_health.hpp"
#include "tests/servers/test_charts.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class path_health_test : public testing::Test
{
protected:
    path_health_test() : charts_(load_all_charts()), path_(charts_.target.path)
    {
    }

    /// An attempt fails while other VMs get answers, and so does the next one.
    void close()
    {
        path_.record_silence(clock_.now());
        clock_.advance(800ms);
        path_.record_reached_elsewhere(clock_.now());
        path_.record_silence(clock_.now());
    }

    /// Time until a closed path is tried again.
    duration wait_for_trial()
    {
        auto const begin = clock_.now();
        while (path_.state() == path_state::closed) {
            clock_.advance(100ms);
            path_.tick(clock_.now());
        }
        return clock_.now() - begin;
    }

    chart_list charts_;
    manual_clock clock_;
    path_health path_;
};

TEST_F(path_health_test, path_closes_if_only_other_vms_get_answers)
{
    close();
    EXPECT_EQ(path_.state(), path_state::closed);
    EXPECT_FALSE(path_.allows(0));
}

TEST_F(path_health_test, path_to_a_target_that_nobody_reaches_stays_usable)
{
    for (int it = 0; it < 10; ++it) {
        path_.record_silence(clock_.now());
        clock_.advance(400ms);
        path_.tick(clock_.now());
        EXPECT_TRUE(path_.allows(0));
    }
}

TEST_F(path_health_test, answers_from_before_the_silence_do_not_close_the_path)
{
    path_.record_silence(clock_.now());
    clock_.advance(300ms);
    path_.record_reached_elsewhere(clock_.now());
    path_.record_silence(clock_.now());
    EXPECT_EQ(path_.state(), path_state::in_doubt);
}

TEST_F(path_health_test, path_in_doubt_gets_one_request_at_a_time)
{
    path_.record_silence(clock_.now());
    EXPECT_TRUE(path_.allows(0));
    EXPECT_FALSE(path_.allows(1));
}

TEST_F(path_health_test, closed_path_is_tried_at_growing_intervals)
{
    close();
    EXPECT_EQ(wait_for_trial(), 2s);
    path_.record_silence(clock_.now());
    EXPECT_EQ(wait_for_trial(), 4s);
    path_.record_reached(clock_.now());
    EXPECT_EQ(path_.state(), path_state::open);
    close();
    EXPECT_EQ(wait_for_trial(), 2s);
}

TEST_F(path_health_test, path_is_confirmed_by_a_recent_answer_until_a_silence)
{
    path_.record_reached(clock_.now());
    EXPECT_TRUE(path_.is_confirmed(clock_.now()));
    path_.record_silence(clock_.now());
    EXPECT_FALSE(path_.is_confirmed(clock_.now()));
}

} // namespace
} // namespace pomelohinge
