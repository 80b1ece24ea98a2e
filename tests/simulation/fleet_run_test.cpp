#include "core/invariant.hpp"
#include "core/log.hpp"
#include "tests/simulation/fleet_run.hpp"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

/// Runs whole fleets with random faults drawn from a seed. The environment
/// variable `POMELOHINGE_SEEDS` in the form `FIRST:COUNT` replaces the default
/// seeds.
class fleet_run_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    static void check_under_random_faults(fleet_run& run)
    {
        auto const violations = invariant_violations();
        run.run(40s, 12);
        for (auto const& it : run.checker().violations())
            ADD_FAILURE() << "seed " << GetParam() << ": " << it;
        EXPECT_EQ(invariant_violations(), violations);
        // After recovery, only requests beyond the rate are refused.
        auto const before = run.counts();
        run.drive(5s);
        std::uint64_t beyond_rate = 0;
        std::uint64_t refused = 0;
        for (auto const& [kind, n] : run.counts().refusals) {
            auto const it = before.refusals.find(kind);
            auto const increase =
                n - (it == before.refusals.end() ? 0 : it->second);
            (kind.starts_with("rate_exceeded") ? beyond_rate : refused) +=
                increase;
        }
        EXPECT_EQ(refused, 0u) << "seed " << GetParam() << "\n"
                               << run.describe();
        EXPECT_EQ(run.counts().not_reached, before.not_reached)
            << "seed " << GetParam() << "\n"
            << run.describe();
        EXPECT_GT(run.counts().answered, before.answered + 100)
            << "seed " << GetParam() << "\n"
            << run.describe();
        if (HasFailure())
            std::cout << "seed " << GetParam() << ":\n" << run.describe();
    }
};

std::vector<std::uint64_t> seeds()
{
    auto const* const text = std::getenv("POMELOHINGE_SEEDS");
    if (text == nullptr)
        return {1, 2, 3, 4, 5, 6, 7, 8};
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
    check_under_random_faults(run);
}

/// Changes in place of whole reports between data centres must not cost a rate
/// limit or a target's health anything.
TEST_P(fleet_run_test, fleet_with_a_remote_budget_keeps_every_invariant)
{
    constexpr double budget = 2000;
    fleet_run run(GetParam(), budget);
    check_under_random_faults(run);
}

/// Data centres that are closed, or whose targets fail, need those of others.
TEST_P(fleet_run_test, fleet_with_priced_transfers_keeps_every_invariant)
{
    constexpr double budget = 2000;
    constexpr double price_per_mb = 10;
    fleet_run run(GetParam(), budget, transfer_settings{price_per_mb});
    check_under_random_faults(run);
}

INSTANTIATE_TEST_SUITE_P(seeds, fleet_run_test, testing::ValuesIn(seeds()));

/// Runs fleets with one chosen fault or none.
class fleet_fault_test : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(fleet_fault_test, fleet_whose_vms_are_all_killed_serves_again_at_once)
{
    fleet_run run(GetParam());
    run.drive(5s);
    for (auto const& it : run.vm_names())
        run.kill(it);
    for (auto const& it : run.vm_names())
        run.start_vm(it);
    run.drive(2s);
    auto const before = run.counts();
    run.drive(3s);
    auto const requests = run.counts().requests - before.requests;
    EXPECT_GE(run.counts().answered - before.answered, requests / 2)
        << run.describe();
    EXPECT_TRUE(run.checker().violations().empty())
        << run.checker().violations().front();
}

TEST_P(fleet_fault_test, data_centre_without_vms_is_served_by_the_others)
{
    fleet_run run(GetParam());
    for (auto const& it : run.vm_names())
        if (it.starts_with("east"))
            run.kill(it);
    run.drive(5s);
    auto const before = run.counts();
    run.drive(3s);
    EXPECT_EQ(run.counts().not_reached, before.not_reached) << run.describe();
}

TEST_P(fleet_fault_test, fleet_without_faults_calls_the_store_rarely)
{
    fleet_run run(GetParam());
    auto const before = run.store_calls();
    run.drive(30s);
    // At most 8 calls per second by the whole fleet over 32 s: `drive` adds
    // 2 s to the 30 s.
    EXPECT_LE(run.store_calls() - before, 8u * 32u);
}

INSTANTIATE_TEST_SUITE_P(
    single_faults, fleet_fault_test, testing::Values(1, 2, 3));

} // namespace
} // namespace pomelohinge::simulation
