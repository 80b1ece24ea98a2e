#include "core/log.hpp"
#include "tests/simulation/fleet_run.hpp"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>

namespace pomelohinge::simulation {
namespace {

/// Runs whole fleets with faults drawn by a seed. `POMELOHINGE_SEEDS` as
/// `FIRST:COUNT` replaces the seeds that run by default.
class fleet_run_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    static void SetUpTestSuite()
    {
        configure_log(log_format::text, log_level::error);
    }
};

std::vector<std::uint64_t> seeds()
{
    auto const* const text = std::getenv("POMELOHINGE_SEEDS");
    // Seeds that once showed a fault.
    if (text == nullptr)
        return {15, 21, 61, 99, 283, 639, 751, 758, 884, 944, 1226, 1736, 1884,
            2366, 3718};
    std::uint64_t first = 1;
    std::uint64_t count = 1;
    char colon = ':';
    std::istringstream(text) >> first >> colon >> count;
    std::vector<std::uint64_t> all;
    for (std::uint64_t it = 0; it < count; ++it)
        all.push_back(first + it);
    return all;
}

TEST_P(fleet_run_test, fleet_under_random_faults_keeps_every_invariant)
{
    fleet_run run(GetParam());
    run.run(std::chrono::seconds(40), 10);
    for (auto const& it : run.judge().blamed())
        ADD_FAILURE() << "seed " << GetParam() << ": " << it;
    // With everything mended, each request within the rate is answered.
    auto const before = run.tally();
    run.drive_within_rate(std::chrono::seconds(3));
    auto const requests = run.tally().requests - before.requests;
    EXPECT_GT(requests, 0u);
    EXPECT_EQ(run.tally().answered - before.answered, requests)
        << run.describe();
    for (auto const& [kind, n] : run.tally().refusals) {
        auto const it = before.refusals.find(kind);
        auto const old = it == before.refusals.end() ? 0 : it->second;
        if (n > old)
            std::cout << "refused at the end: " << n - old << " " << kind
                      << "\n";
    }
}

/// One data centre of a run dies at once, and nobody of it is left to say so.
class data_centre_death_test : public fleet_run_test
{
};

TEST_P(data_centre_death_test, fleet_without_one_data_centre_serves_again)
{
    fleet_run run(GetParam());
    run.settle(std::chrono::seconds(12));
    run.kill("west-1");
    run.kill("west-2");
    run.settle(std::chrono::seconds(20));
    for (auto* it : run.living())
        EXPECT_TRUE(
            it->plane().status().view.find(data_centre_id("west"))->vms.empty())
            << run.describe();
    auto const before = run.tally();
    run.drive_within_rate(std::chrono::seconds(3));
    EXPECT_EQ(run.tally().answered - before.answered,
        run.tally().requests - before.requests)
        << run.describe();
    run.check_end();
    EXPECT_TRUE(run.judge().blamed().empty());
}

INSTANTIATE_TEST_SUITE_P(
    deaths, data_centre_death_test, testing::Values(1, 2, 3));

INSTANTIATE_TEST_SUITE_P(seeds, fleet_run_test, testing::ValuesIn(seeds()));

} // namespace
} // namespace pomelohinge::simulation
