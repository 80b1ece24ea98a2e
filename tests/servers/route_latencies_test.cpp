#include "servers/selection/route_latencies.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class route_latencies_test : public testing::Test
{
protected:
    void add(duration latency, int count = 1)
    {
        for (int it = 0; it < count; ++it)
            latencies_.add(route_, service_, latency, clock_.now());
    }

    std::optional<duration> limit() const
    {
        return latencies_.likely_limit(route_, service_);
    }

    manual_clock clock_;
    route_id route_{"pay"};
    service_id service_{"shop"};
    route_latencies latencies_;
};

TEST_F(route_latencies_test, limit_of_few_requests_is_unknown)
{
    EXPECT_FALSE(limit());
    add(100ms, 15);
    EXPECT_FALSE(limit());
    add(100ms);
    EXPECT_EQ(limit(), 200ms);
}

TEST_F(route_latencies_test, limit_of_another_route_or_service_is_unknown)
{
    add(100ms, 64);
    EXPECT_FALSE(latencies_.likely_limit(route_id("look"), service_));
    EXPECT_FALSE(latencies_.likely_limit(route_, service_id("other")));
}

TEST_F(route_latencies_test, limit_follows_the_slow_requests_of_a_mixture)
{
    add(100ms, 60);
    add(2s, 4);
    EXPECT_EQ(limit(), 4s);
}

TEST_F(route_latencies_test, limit_passes_over_outliers)
{
    add(100ms, 62);
    add(20s, 2);
    EXPECT_EQ(limit(), 200ms);
}

TEST_F(route_latencies_test, limit_depends_on_the_latest_requests)
{
    add(2s, 64);
    EXPECT_EQ(limit(), 4s);
    add(100ms, 64);
    EXPECT_EQ(limit(), 200ms);
}

TEST_F(route_latencies_test, limit_of_short_requests_is_above_zero)
{
    add(100us, 16);
    EXPECT_EQ(limit(), 2ms);
}

TEST_F(route_latencies_test, idle_route_is_forgotten)
{
    add(100ms, 64);
    clock_.advance(9min);
    latencies_.remove_idle(clock_.now());
    EXPECT_TRUE(limit());
    clock_.advance(2min);
    latencies_.remove_idle(clock_.now());
    EXPECT_FALSE(limit());
}

} // namespace
} // namespace pomelohinge
