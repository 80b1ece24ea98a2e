#include "servers/requests/request_pipeline.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class request_pipeline_test : public testing::Test
{
protected:
    request_pipeline::request_number add(bool repeatable)
    {
        auto const number = pipeline_.next_number();
        pipeline_.add(
            repeatable, clock_.now(), [this, number](duration waited) {
                started_.push_back(number);
                waited_ = waited;
            });
        return number;
    }

    void answer(
        request_pipeline::request_number number, std::size_t bytes = 100)
    {
        pipeline_.answered(number, bytes, clock_.now());
    }

    using numbers = std::vector<request_pipeline::request_number>;

    manual_clock clock_;
    request_pipeline pipeline_;
    numbers started_;
    duration waited_{};
};

TEST_F(request_pipeline_test, repeatable_requests_start_at_once)
{
    for (int it = 0; it < 5; ++it)
        add(true);
    EXPECT_EQ(started_, (numbers{1, 2, 3, 4, 5}));
}

TEST_F(request_pipeline_test, other_request_waits_for_all_before_it)
{
    add(true);
    add(true);
    add(false);
    EXPECT_EQ(started_, (numbers{1, 2}));
    answer(2);
    EXPECT_EQ(started_, (numbers{1, 2}));
    clock_.advance(300ms);
    answer(1);
    EXPECT_EQ(started_, (numbers{1, 2, 3}));
    EXPECT_EQ(waited_, duration(300ms));
}

TEST_F(request_pipeline_test, requests_behind_another_one_wait_for_its_answer)
{
    add(false);
    add(true);
    add(false);
    add(true);
    EXPECT_EQ(started_, (numbers{1}));
    answer(1);
    EXPECT_EQ(started_, (numbers{1, 2}));
    answer(2);
    EXPECT_EQ(started_, (numbers{1, 2, 3}));
    answer(3);
    EXPECT_EQ(started_, (numbers{1, 2, 3, 4}));
}

TEST_F(request_pipeline_test, number_of_running_requests_is_limited)
{
    for (std::size_t it = 0; it < request_pipeline::max_running + 3; ++it)
        add(true);
    EXPECT_EQ(started_.size(), request_pipeline::max_running);
    answer(4);
    EXPECT_EQ(started_.size(), request_pipeline::max_running + 1);
}

TEST_F(
    request_pipeline_test, large_answers_behind_a_slow_one_stop_further_starts)
{
    add(true);
    add(true);
    answer(2, request_pipeline::max_waiting_bytes + 1);
    add(true);
    EXPECT_EQ(started_, (numbers{1, 2}));
    answer(1);
    EXPECT_EQ(started_, (numbers{1, 2, 3}));
}

TEST_F(request_pipeline_test, stopped_pipeline_starts_no_further_request)
{
    auto const first = add(true);
    auto const second = add(true);
    add(false);
    pipeline_.stop();
    add(true);
    answer(first);
    answer(second);
    EXPECT_EQ(started_, (numbers{1, 2}));
    EXPECT_FALSE(pipeline_.is_last(first));
    EXPECT_TRUE(pipeline_.is_last(second));
    EXPECT_TRUE(pipeline_.empty());
}

TEST_F(request_pipeline_test, closed_pipeline_starts_requests_that_wait)
{
    auto const first = add(false);
    auto const second = add(false);
    pipeline_.close();
    add(false);
    EXPECT_FALSE(pipeline_.is_last(first));
    answer(first);
    EXPECT_EQ(started_, (numbers{1, 2}));
    EXPECT_TRUE(pipeline_.is_last(second));
    answer(second);
    EXPECT_EQ(started_, (numbers{1, 2}));
    EXPECT_TRUE(pipeline_.empty());
}

TEST_F(request_pipeline_test, request_before_an_answered_one_is_not_the_only)
{
    auto const first = add(true);
    auto const second = add(true);
    answer(second);
    EXPECT_FALSE(pipeline_.is_only(first));
    answer(first);
    auto const third = add(true);
    EXPECT_TRUE(pipeline_.is_only(third));
}

TEST_F(request_pipeline_test, request_answered_at_once_lets_the_next_one_start)
{
    std::vector<int> order;
    pipeline_.add(false, clock_.now(), [&](duration) {
        order.push_back(1);
        pipeline_.answered(1, 10, clock_.now());
    });
    pipeline_.add(false, clock_.now(), [&](duration) { order.push_back(2); });
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

} // namespace
} // namespace pomelohinge
