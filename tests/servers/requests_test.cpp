#include "servers/idempotency/record.hpp"
#include "servers/poison/poison_guard.hpp"
#include "servers/selection/picker.hpp"

#include <gtest/gtest.h>
#include <random>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class poison_test : public testing::Test
{
protected:
    static constexpr fingerprint request_fingerprint = 7;

    manual_clock clock_;
    poison_guard guard_;
};

TEST_F(poison_test, request_after_one_crash_is_not_held_back)
{
    guard_.record_crash(request_fingerprint, "t1", clock_.now());
    EXPECT_EQ(guard_.remaining_hold(request_fingerprint, clock_.now()),
        duration::zero());
}

TEST_F(poison_test, request_that_crashed_two_targets_is_held_back)
{
    guard_.record_crash(request_fingerprint, "t1", clock_.now());
    guard_.record_crash(request_fingerprint, "t2", clock_.now());
    EXPECT_GT(guard_.remaining_hold(request_fingerprint, clock_.now()), 50s);
    EXPECT_EQ(guard_.remaining_hold(8, clock_.now()), duration::zero());
}

TEST_F(poison_test, request_that_crashed_one_target_twice_counts_once)
{
    guard_.record_crash(request_fingerprint, "t1", clock_.now());
    guard_.record_crash(request_fingerprint, "t1", clock_.now());
    EXPECT_EQ(guard_.remaining_hold(request_fingerprint, clock_.now()),
        duration::zero());
}

TEST_F(poison_test, crash_after_one_reported_by_another_vm_is_added)
{
    poison_guard other;
    other.record_crash(request_fingerprint, "t1", clock_.now());
    for (auto const& it : other.suspects(clock_.now()))
        guard_.merge(it, clock_.now());
    guard_.record_crash(request_fingerprint, "t2", clock_.now());
    EXPECT_GT(guard_.remaining_hold(request_fingerprint, clock_.now()),
        duration::zero());
}

TEST_F(poison_test, suspect_without_further_crashes_is_removed)
{
    guard_.record_crash(request_fingerprint, "t1", clock_.now());
    clock_.advance(31s);
    guard_.remove_expired(clock_.now());
    EXPECT_TRUE(guard_.empty());
}

TEST_F(poison_test, fingerprint_differs_with_each_part)
{
    auto const it = fingerprint_of("a", "GET", "/x", "body");
    EXPECT_NE(it, fingerprint_of("b", "GET", "/x", "body"));
    EXPECT_NE(it, fingerprint_of("a", "PUT", "/x", "body"));
    EXPECT_NE(it, fingerprint_of("a", "GET", "/y", "body"));
    EXPECT_NE(it, fingerprint_of("a", "GET", "/xb", "ody"));
}

class record_test : public testing::Test
{
protected:
    static idempotency_record make(record_state state)
    {
        idempotency_record it;
        it.request_fingerprint = 1;
        it.state = state;
        it.ends_at_ms = 1000;
        return it;
    }
};

TEST_F(record_test, repeated_request_during_the_run_is_reported_as_running)
{
    EXPECT_EQ(evaluate_record(make(record_state::started), 1, 999),
        record_outcome::running);
}

TEST_F(record_test, repeated_request_after_the_run_gets_the_recorded_answer)
{
    EXPECT_EQ(evaluate_record(make(record_state::done), 1, 5000),
        record_outcome::done);
}

TEST_F(record_test, repeated_request_with_another_fingerprint_differs)
{
    for (auto const it :
        {record_state::started, record_state::done, record_state::unknown})
        EXPECT_EQ(evaluate_record(make(it), 2, 0), record_outcome::differs);
}

TEST_F(record_test, record_without_an_answer_after_its_end_time_is_unknown)
{
    EXPECT_EQ(evaluate_record(make(record_state::started), 1, 1000),
        record_outcome::unknown);
    EXPECT_EQ(evaluate_record(make(record_state::unknown), 1, 0),
        record_outcome::unknown);
}

class picker_test : public testing::Test
{
protected:
    static candidate make(
        double load, bool local, double failure_probability = 0.01)
    {
        return {0, load, local, failure_probability, true};
    }

    std::mt19937_64 random_{1};
    health_and_load_picker picker_;
};

TEST_F(picker_test, local_target_with_capacity_goes_before_an_idle_remote_one)
{
    std::vector<candidate> const all{make(1.0, true), make(0.1, false)};
    for (int it = 0; it < 100; ++it)
        EXPECT_EQ(picker_.pick(all, {false}, random_), 0u);
}

TEST_F(picker_test, clearly_less_loaded_target_is_chosen)
{
    std::vector<candidate> const all{make(0.8, true), make(0.2, true)};
    for (int it = 0; it < 100; ++it)
        EXPECT_EQ(picker_.pick(all, {true}, random_), 1u);
}

TEST_F(picker_test, request_that_is_not_retryable_avoids_likely_failure)
{
    std::vector<candidate> const all{make(0.2, true, 0.15), make(0.2, true)};
    for (int it = 0; it < 100; ++it) {
        EXPECT_EQ(picker_.pick(all, {false}, random_), 1u);
        EXPECT_EQ(picker_.pick(all, {true}, random_), 0u);
    }
}

TEST_F(picker_test, possibly_failing_target_is_chosen_before_a_full_one)
{
    std::vector<candidate> const all{make(0.2, true, 0.2), make(1, true)};
    for (int it = 0; it < 100; ++it)
        EXPECT_EQ(picker_.pick(all, {false}, random_), 0u);
}

TEST_F(picker_test, failing_target_is_not_chosen_while_others_have_capacity)
{
    std::vector<candidate> const all{make(0.2, true, 0.95), make(1, true)};
    for (int it = 0; it < 100; ++it) {
        EXPECT_EQ(picker_.pick(all, {false}, random_), 1u);
        EXPECT_EQ(picker_.pick(all, {true}, random_), 1u);
    }
}

TEST_F(picker_test, pick_without_candidates_returns_none)
{
    EXPECT_FALSE(picker_.pick({}, {false}, random_));
    EXPECT_FALSE(power_of_two_picker().pick({}, {false}, random_));
    EXPECT_FALSE(round_robin_picker().pick({}, {false}, random_));
}

} // namespace
} // namespace pomelohinge
