#include "drivers/front/connection_state.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class connection_state_test : public testing::Test
{
protected:
    connection_state connection_;
};

TEST_F(connection_state_test, closing_ends_every_registered_request)
{
    int closed = 0;
    connection_.begin_request([&] { ++closed; });
    connection_.begin_request([&] { ++closed; });
    connection_.mark_closed_by_caller();
    connection_.mark_closed_by_caller();
    EXPECT_EQ(closed, 2);
}

/// A request that ended while another one of its connection was cancelled was
/// counted as ended twice, and a planned stop waited for it in vain.
TEST_F(connection_state_test, request_that_ends_while_closing_ends_only_once)
{
    std::uint64_t second = 0;
    bool second_closed = false;
    connection_.begin_request([&] { connection_.end_request(second); });
    second = connection_.begin_request([&] { second_closed = true; });
    connection_.mark_closed_by_caller();
    EXPECT_FALSE(second_closed);
}

} // namespace
} // namespace pomelohinge
