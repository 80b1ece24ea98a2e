#include "servers/selection/connection_reuse.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class connection_reuse_test : public testing::Test
{
protected:
    void use_new(int answered, int lost)
    {
        for (int it = 0; it < answered; ++it)
            reuse_.record_new(false);
        for (int it = 0; it < lost; ++it)
            reuse_.record_new(true);
    }

    manual_clock clock_;
    connection_reuse reuse_;
};

TEST_F(connection_reuse_test, loss_of_a_reused_connection_limits_the_idle_time)
{
    use_new(20, 0);
    EXPECT_TRUE(reuse_.record_reused(true, 2s, clock_.now()));
    EXPECT_EQ(reuse_.max_idle(clock_.now()), 1s);
    EXPECT_TRUE(reuse_.record_reused(true, 1s, clock_.now()));
    EXPECT_EQ(reuse_.max_idle(clock_.now()), 500ms);
    clock_.advance(16s);
    EXPECT_EQ(reuse_.max_idle(clock_.now()), duration::max());
}

/// Targets that reset most requests made every VM open a new connection for
/// each request, which did not help.
TEST_F(connection_reuse_test, losses_as_frequent_as_on_new_ones_set_no_limit)
{
    for (int it = 0; it < 20; ++it) {
        use_new(9, 1);
        bool const lost = it % 4 == 0;
        EXPECT_FALSE(reuse_.record_reused(lost, 2s, clock_.now()));
    }
    EXPECT_EQ(reuse_.max_idle(clock_.now()), duration::max());
}

TEST_F(connection_reuse_test, answers_on_reused_connections_set_no_limit)
{
    for (int it = 0; it < 20; ++it)
        EXPECT_FALSE(reuse_.record_reused(false, 2s, clock_.now()));
    EXPECT_EQ(reuse_.max_idle(clock_.now()), duration::max());
}

} // namespace
} // namespace pomelohinge
