#include "tests/simulation/invariant_checker.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

/// Requests that reach a cold target, of which it bears 10 a second.
class cold_target_check_test : public testing::Test
{
protected:
    /// More than the bounds of a checker allow in a second.
    static constexpr int too_many = 21;

    cold_target_check_test() { checker_.on_vm_affected("affected", now_ + 8s); }

    /// The number of violations after `count` requests within a second.
    std::size_t send(std::string const& vm, bool is_known_as_cold, int count)
    {
        for (int it = 0; it < count; ++it) {
            now_ += 40ms;
            checker_.on_cold_target_reached(
                vm, target_id("t1"), is_known_as_cold, 10, now_);
        }
        return checker_.violations().size();
    }

    time_point now_{1h};
    invariant_checker checker_{invariant_bounds{}};
};

TEST_F(cold_target_check_test, requests_within_the_bounds_are_no_violation)
{
    EXPECT_EQ(send("sound", true, too_many - 1), 0u);
}

TEST_F(cold_target_check_test, too_many_requests_are_a_violation)
{
    EXPECT_EQ(send("sound", true, too_many), 1u);
}

TEST_F(cold_target_check_test, vm_without_faults_must_know_of_the_target)
{
    EXPECT_EQ(send("sound", false, too_many), 1u);
}

TEST_F(cold_target_check_test, vm_under_a_fault_keeps_to_what_it_knows)
{
    EXPECT_EQ(send("affected", true, too_many), 1u);
}

TEST_F(cold_target_check_test, vm_that_a_fault_keeps_from_knowing_is_excused)
{
    EXPECT_EQ(send("affected", false, too_many), 0u);
}

} // namespace
} // namespace pomelohinge::simulation
