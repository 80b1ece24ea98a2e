#include "servers/limits/organisation_shares.hpp"

#include "core/invariant.hpp"

#include <gtest/gtest.h>
#include <random>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class limits_test : public testing::Test
{
protected:
    charge_answer charge(time_point since)
    {
        return shares_.charge(
            organisation_id("pub"), rate_, since, clock_.now());
    }

    int grants_until_dry(time_point since)
    {
        int n = 0;
        while (charge(since).verdict == charge_verdict::granted)
            ++n;
        return n;
    }

    manual_clock clock_;
    organisation_shares shares_;
    rate_object rate_{100, 20};
};

TEST_F(limits_test, bucket_over_any_span_gives_burst_and_rate_at_most)
{
    token_bucket bucket({50, 10}, 10, clock_.now());
    std::mt19937_64 random(1);
    int given = 0;
    auto const begin = clock_.now();
    for (int it = 0; it < 20000; ++it) {
        clock_.advance(std::chrono::microseconds(random() % 2000));
        given += bucket.take(clock_.now()) ? 1 : 0;
        ASSERT_LE(given, 10 + 50 * to_seconds(clock_.now() - begin) + 1e-6);
    }
}

TEST_F(limits_test, shares_together_are_the_whole_rate_and_burst)
{
    for (auto const& it :
        {rate_object{1, 1}, rate_object{50, 7}, rate_object{50, 8},
            rate_object{900, 500}, rate_object{100000, 9999}}) {
        auto const n = static_cast<double>(share_count(it));
        EXPECT_NEAR(share_of(it).burst * n, it.burst, 1e-6);
        EXPECT_NEAR(
            share_of(it).tokens_per_second * n, it.requests_per_second, 1e-6);
    }
}

TEST_F(limits_test, charge_of_long_owned_share_finds_its_burst)
{
    EXPECT_EQ(grants_until_dry(clock_.now() - 60s), 10);
}

TEST_F(limits_test, charge_of_just_gained_share_finds_nothing)
{
    auto const answer = charge(clock_.now());
    EXPECT_EQ(answer.verdict, charge_verdict::exhausted);
    EXPECT_GT(answer.retry_after, duration::zero());
    clock_.advance(answer.retry_after + 1ms);
    EXPECT_EQ(charge(clock_.now() - answer.retry_after - 1ms).verdict,
        charge_verdict::granted);
}

TEST_F(limits_test, charge_after_another_owned_it_forgets_the_bucket)
{
    EXPECT_EQ(charge(clock_.now() - 60s).verdict, charge_verdict::granted);
    clock_.advance(10s);
    EXPECT_EQ(grants_until_dry(clock_.now()), 0);
}

TEST_F(limits_test, share_given_up_takes_its_tokens_along)
{
    charge(clock_.now() - 60s);
    organisation_id const pub("pub");
    auto const tokens = shares_.give_up(pub, clock_.now());
    EXPECT_NEAR(tokens, 9, 1e-6);
    organisation_shares next;
    next.take_over({pub, tokens}, rate_, clock_.now(), clock_.now());
    int n = 0;
    while (next.charge(pub, rate_, clock_.now(), clock_.now()).verdict ==
        charge_verdict::granted)
        ++n;
    EXPECT_EQ(n, 9);
    EXPECT_EQ(invariant_violations(), 0u);
}

} // namespace
} // namespace pomelohinge
