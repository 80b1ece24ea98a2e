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
    static constexpr fingerprint print = 7;

    manual_clock clock_;
    poison_guard guard_;
};

TEST_F(poison_test, request_after_one_crash_goes)
{
    guard_.record_crash(print, "t1", clock_.now());
    EXPECT_EQ(guard_.remaining_hold(print, clock_.now()), duration::zero());
}

TEST_F(poison_test, request_that_cost_two_targets_is_held_back)
{
    guard_.record_crash(print, "t1", clock_.now());
    guard_.record_crash(print, "t2", clock_.now());
    EXPECT_GT(guard_.remaining_hold(print, clock_.now()), 50s);
    EXPECT_EQ(guard_.remaining_hold(8, clock_.now()), duration::zero());
}

TEST_F(poison_test, request_that_lost_one_target_twice_is_counted_once)
{
    guard_.record_crash(print, "t1", clock_.now());
    guard_.record_crash(print, "t1", clock_.now());
    EXPECT_EQ(guard_.remaining_hold(print, clock_.now()), duration::zero());
}

TEST_F(poison_test, crashes_on_two_vms_add_up)
{
    poison_guard other;
    other.record_crash(print, "t1", clock_.now());
    for (auto const& it : other.suspects(clock_.now()))
        guard_.merge(it, clock_.now());
    guard_.record_crash(print, "t2", clock_.now());
    EXPECT_GT(guard_.remaining_hold(print, clock_.now()), duration::zero());
}

TEST_F(poison_test, suspect_that_cost_nothing_more_is_forgotten)
{
    guard_.record_crash(print, "t1", clock_.now());
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

TEST_F(record_test, repeat_while_running_is_told_so)
{
    EXPECT_EQ(evaluate_record(make(record_state::started), 1, 999),
        record_outcome::running);
}

TEST_F(record_test, repeat_after_its_end_gets_the_recorded_answer)
{
    EXPECT_EQ(evaluate_record(make(record_state::done), 1, 5000),
        record_outcome::done);
}

TEST_F(record_test, repeat_of_another_request_is_told_to_differ)
{
    for (auto const it :
        {record_state::started, record_state::done, record_state::unknown})
        EXPECT_EQ(evaluate_record(make(it), 2, 0), record_outcome::differs);
}

TEST_F(record_test, run_without_an_end_becomes_unknown)
{
    EXPECT_EQ(evaluate_record(make(record_state::started), 1, 1000),
        record_outcome::unknown);
    EXPECT_EQ(evaluate_record(make(record_state::unknown), 1, 0),
        record_outcome::unknown);
}

class picker_test : public testing::Test
{
protected:
    static candidate make(double load, bool near, double doubt = 0.01)
    {
        return {0, load, near, doubt, true};
    }

    std::mt19937_64 random_{1};
    doubt_and_load_picker picker_;
};

TEST_F(picker_test, near_target_with_room_goes_before_a_far_idle_one)
{
    std::vector<candidate> const all{make(1.0, true), make(0.1, false)};
    for (int it = 0; it < 100; ++it)
        EXPECT_EQ(picker_.pick(all, {false}, random_), 0u);
}

TEST_F(picker_test, clearly_less_loaded_target_is_taken)
{
    std::vector<candidate> const all{make(0.8, true), make(0.2, true)};
    for (int it = 0; it < 100; ++it)
        EXPECT_EQ(picker_.pick(all, {true}, random_), 1u);
}

TEST_F(picker_test, request_that_cannot_be_repeated_avoids_doubt)
{
    std::vector<candidate> const all{make(0.2, true, 0.15), make(0.2, true)};
    for (int it = 0; it < 100; ++it) {
        EXPECT_EQ(picker_.pick(all, {false}, random_), 1u);
        EXPECT_EQ(picker_.pick(all, {true}, random_), 0u);
    }
}

TEST_F(picker_test, doubted_target_is_taken_before_a_full_one)
{
    std::vector<candidate> const all{make(0.2, true, 0.2), make(1, true)};
    for (int it = 0; it < 100; ++it)
        EXPECT_EQ(picker_.pick(all, {false}, random_), 0u);
}

TEST_F(picker_test, failing_target_is_not_taken_while_others_have_room)
{
    std::vector<candidate> const all{make(0.2, true, 0.95), make(1, true)};
    for (int it = 0; it < 100; ++it) {
        EXPECT_EQ(picker_.pick(all, {false}, random_), 1u);
        EXPECT_EQ(picker_.pick(all, {true}, random_), 1u);
    }
}

TEST_F(picker_test, no_candidates_give_nothing)
{
    EXPECT_FALSE(picker_.pick({}, {false}, random_));
    EXPECT_FALSE(power_of_two_picker().pick({}, {false}, random_));
    EXPECT_FALSE(round_robin_picker().pick({}, {false}, random_));
}

} // namespace
} // namespace pomelohinge
