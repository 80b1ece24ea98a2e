#include "servers/requests/connection_history.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class connection_history_test : public testing::Test
{
protected:
    connection_history history_;
};

TEST_F(connection_history_test, new_connection_carries_any_request)
{
    EXPECT_TRUE(history_.can_carry("a"));
    EXPECT_EQ(history_.earlier_requests(), 0U);
}

TEST_F(connection_history_test, request_is_not_carried_twice)
{
    history_.begin_request("a");
    EXPECT_FALSE(history_.can_carry("a"));
    history_.begin_request("b");
    history_.begin_request("c");
    EXPECT_FALSE(history_.can_carry("a"));
    EXPECT_FALSE(history_.can_carry("b"));
    EXPECT_TRUE(history_.can_carry("d"));
    EXPECT_EQ(history_.earlier_requests(), 2U);
}

TEST_F(connection_history_test, full_connection_carries_no_further_request)
{
    std::size_t carried = 0;
    for (; carried < 1000; ++carried) {
        auto const id = std::to_string(carried);
        if (!history_.can_carry(id))
            break;
        history_.begin_request(id);
    }
    EXPECT_EQ(carried, 100U);
}

TEST_F(connection_history_test, answer_belongs_to_the_request_that_it_names)
{
    history_.begin_request("a");
    history_.begin_request("b");
    EXPECT_EQ(history_.owner_of("b"), answer_owner::current);
    EXPECT_EQ(history_.owner_of("a"), answer_owner::earlier);
    EXPECT_EQ(history_.owner_of("c"), answer_owner::foreign);
    EXPECT_EQ(history_.owner_of(""), answer_owner::unnamed);
}

TEST_F(connection_history_test, answer_that_names_another_request_is_skipped)
{
    history_.begin_request("a");
    history_.begin_request("b");
    EXPECT_EQ(
        history_.judge(answer_owner::current, true), answer_verdict::accepted);
    EXPECT_EQ(
        history_.judge(answer_owner::earlier, false), answer_verdict::skipped);
    EXPECT_EQ(
        history_.judge(answer_owner::foreign, false), answer_verdict::skipped);
}

TEST_F(connection_history_test, foreign_answer_to_the_first_request_is_rejected)
{
    history_.begin_request("a");
    EXPECT_EQ(
        history_.judge(answer_owner::foreign, false), answer_verdict::rejected);
}

TEST_F(connection_history_test, answer_without_name_counts_on_the_first_request)
{
    history_.begin_request("a");
    EXPECT_EQ(
        history_.judge(answer_owner::unnamed, false), answer_verdict::accepted);
    EXPECT_EQ(
        history_.judge(answer_owner::unnamed, true), answer_verdict::rejected);
    history_.begin_request("b");
    EXPECT_EQ(
        history_.judge(answer_owner::unnamed, false), answer_verdict::rejected);
}

} // namespace
} // namespace pomelohinge
