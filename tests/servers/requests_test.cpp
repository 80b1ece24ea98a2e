#include "servers/idempotency/record_table.hpp"
#include "servers/poison/poison_guard.hpp"
#include "servers/retries/retry_policy.hpp"
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

TEST_F(poison_test, request_after_one_crash_goes_alone)
{
    guard_.crashed(print, clock_.now());
    EXPECT_EQ(guard_.ask(print, clock_.now()), poison_verdict::trial);
    EXPECT_EQ(guard_.ask(print, clock_.now()), poison_verdict::held_back);
    EXPECT_EQ(guard_.ask(8, clock_.now()), poison_verdict::clear);
}

TEST_F(poison_test, request_after_two_crashes_is_held_back_for_long)
{
    guard_.crashed(print, clock_.now());
    guard_.ask(print, clock_.now());
    guard_.crashed(print, clock_.now());
    clock_.advance(5min);
    EXPECT_EQ(guard_.ask(print, clock_.now()), poison_verdict::held_back);
}

TEST_F(poison_test, request_that_survived_its_trial_is_clear)
{
    guard_.crashed(print, clock_.now());
    guard_.ask(print, clock_.now());
    guard_.survived(print);
    EXPECT_EQ(guard_.ask(print, clock_.now()), poison_verdict::clear);
}

class record_test : public testing::Test
{
protected:
    idempotency_record make(std::string key, fingerprint print = 1)
    {
        idempotency_record it;
        it.organisation = "pub";
        it.repeat_key = std::move(key);
        it.print = print;
        it.run_limit = 2s;
        return it;
    }

    manual_clock clock_;
    record_table table_;
};

TEST_F(record_test, repeat_while_running_is_told_so)
{
    EXPECT_EQ(table_.begin(make("k"), clock_.now()), record_verdict::proceed);
    EXPECT_EQ(table_.begin(make("k"), clock_.now()), record_verdict::running);
}

TEST_F(record_test, repeat_after_its_end_gets_the_recorded_answer)
{
    table_.begin(make("k"), clock_.now());
    table_.finish("pub", "k", {201, "text/plain", "paid"}, clock_.now());
    EXPECT_EQ(table_.begin(make("k"), clock_.now()), record_verdict::done);
    EXPECT_EQ(table_.find("pub", "k")->answer.body, "paid");
}

TEST_F(record_test, repeat_of_another_request_is_told_to_differ)
{
    table_.begin(make("k", 1), clock_.now());
    EXPECT_EQ(
        table_.begin(make("k", 2), clock_.now()), record_verdict::differs);
}

TEST_F(record_test, run_without_an_end_becomes_unknown)
{
    table_.begin(make("k"), clock_.now());
    clock_.advance(3s);
    table_.expire(clock_.now());
    EXPECT_EQ(table_.begin(make("k"), clock_.now()), record_verdict::unknown);
}

TEST_F(record_test, merge_keeps_the_later_revision)
{
    table_.begin(make("k"), clock_.now());
    table_.finish("pub", "k", {200, "", "a"}, clock_.now());
    table_.merge(make("k"), clock_.now());
    EXPECT_EQ(table_.find("pub", "k")->state, record_state::done);
}

TEST_F(record_test, withdrawn_record_lets_the_request_run)
{
    table_.begin(make("k"), clock_.now());
    table_.withdraw("pub", "k");
    EXPECT_EQ(table_.begin(make("k"), clock_.now()), record_verdict::proceed);
}

class retry_test : public testing::Test
{
protected:
    bool allowed(outcome result, bool idempotent, std::size_t attempts = 1)
    {
        return may_retry({result, idempotent, attempts, clock_.now() + 1s},
            budget_, clock_.now());
    }

    manual_clock clock_;
    retry_budget budget_;
};

TEST_F(retry_test, payment_that_may_have_run_is_never_sent_again)
{
    EXPECT_FALSE(allowed(outcome::unknown, false));
    EXPECT_TRUE(allowed(outcome::not_run, false));
    EXPECT_TRUE(allowed(outcome::unknown, true));
    EXPECT_FALSE(allowed(outcome::not_run, true, most_attempts));
}

TEST_F(retry_test, retries_beyond_the_budget_are_refused)
{
    int n = 0;
    while (allowed(outcome::not_run, true))
        ++n;
    EXPECT_LE(n, 10);
    for (int it = 0; it < 20; ++it)
        budget_.request_began();
    EXPECT_TRUE(allowed(outcome::not_run, true));
}

class picker_test : public testing::Test
{
protected:
    std::mt19937_64 random_{1};
};

TEST_F(picker_test, near_targets_are_taken_until_they_are_loaded)
{
    power_of_two_picker picker;
    std::vector<candidate> calm{{0.2, true, false}, {0.0, false, false}};
    std::vector<candidate> loaded{{1.5, true, false}, {0.1, false, false}};
    for (int it = 0; it < 100; ++it) {
        EXPECT_EQ(picker.pick(calm, random_), 0u);
        EXPECT_EQ(picker.pick(loaded, random_), 1u);
    }
}

TEST_F(picker_test, barred_targets_are_never_taken)
{
    std::vector<candidate> all{{0, true, true}, {0, false, true}};
    EXPECT_FALSE(power_of_two_picker().pick(all, random_));
    EXPECT_FALSE(round_robin_picker().pick(all, random_));
    EXPECT_FALSE(least_load_picker().pick(all, random_));
}

} // namespace
} // namespace pomelohinge
