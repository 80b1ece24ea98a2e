#include "tests/simulation/gray_run.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

/// Fleets before targets that fail most requests in spells of nine seconds, at
/// any time three in ten of them.
class gray_run_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    /// Share of orders that placement without any knowledge loses.
    static constexpr double blind_loss = 0.25;
};

/// Orders were used as probes although other requests could be repeated, and
/// suspects of this data centre went before trusted targets of others.
TEST_P(gray_run_test, few_orders_are_lost_while_lookups_probe_failing_targets)
{
    gray_shape shape;
    shape.idempotent_share = 0.3;
    gray_run run(GetParam(), shape);
    auto const result = run.run(20s, 240s);
    EXPECT_LE(result.loss(), 0.03);
    EXPECT_EQ(result.refused_orders, 0u);
}

/// Each VM sent orders to targets that others had found failing, the more the
/// more VMs there were.
TEST_P(gray_run_test, orders_of_many_vms_avoid_targets_known_to_fail)
{
    constexpr double floor = 0.7;
    gray_shape shape;
    shape.vms = 48;
    shape.targets = 90;
    gray_run run(GetParam(), shape);
    auto const result = run.run(20s, 60s);
    EXPECT_LE(result.loss(), blind_loss / 4);
    EXPECT_GE(result.mean_use, floor);
    EXPECT_EQ(result.refused_orders, 0u);
}

INSTANTIATE_TEST_SUITE_P(seeds, gray_run_test, testing::Values(1, 2));

} // namespace
} // namespace pomelohinge::simulation
