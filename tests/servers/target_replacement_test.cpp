#include "tests/servers/dispatch_fixture.hpp"

namespace pomelohinge {
namespace {

/// Targets at whose address another target seems to answer.
class target_replacement_test : public dispatch_fixture
{
protected:
    target_replacement_test()
    {
        dispatcher_.set_floor(1);
        add("t");
        adopt();
    }

    void pass(duration time)
    {
        constexpr duration step = 100ms;
        for (auto left = time; left > duration::zero(); left -= step) {
            clock_.advance(step);
            dispatcher_.tick(clock_.now());
        }
    }

    /// The time until the target gets a request again.
    duration time_to_trial()
    {
        auto const begin = clock_.now();
        while (place(make_request()).empty() && clock_.now() - begin < 60s)
            pass(100ms);
        return clock_.now() - begin;
    }
};

/// One false 421 took a sound target out of use until its entry changed.
TEST_F(target_replacement_test,
    replaced_target_is_tried_again_with_one_request_at_a_time)
{
    ASSERT_EQ(place(make_request()), "t");
    end_attempt(last_, attempt_result::misdirected);
    pass(1900ms);
    EXPECT_EQ(place(make_request()), "");
    pass(200ms);
    ASSERT_EQ(place(make_request()), "t");
    EXPECT_FALSE(dispatcher_.reserve(make_request(), clock_.now()));
    end_attempt(last_);
    EXPECT_EQ(place(make_request()), "t");
    EXPECT_EQ(place(make_request()), "t");
}

TEST_F(target_replacement_test, trials_of_a_replaced_target_become_rarer)
{
    ASSERT_EQ(place(make_request()), "t");
    for (auto const wait : {2s, 4s, 8s, 16s, 16s}) {
        end_attempt(last_, attempt_result::misdirected);
        EXPECT_EQ(time_to_trial(), duration(wait));
    }
    end_attempt(last_);
    ASSERT_EQ(place(make_request()), "t");
    end_attempt(last_, attempt_result::misdirected);
    EXPECT_EQ(time_to_trial(), duration(2s));
}

TEST_F(target_replacement_test, trial_without_an_answer_shows_nothing)
{
    ASSERT_EQ(place(make_request()), "t");
    end_attempt(last_, attempt_result::misdirected);
    pass(2100ms);
    for (auto const result : {attempt_result::shed, attempt_result::cancelled,
             attempt_result::connection_lost}) {
        ASSERT_EQ(place(make_request()), "t");
        EXPECT_FALSE(dispatcher_.reserve(make_request(), clock_.now()));
        end_attempt(last_, result);
    }
}

TEST_F(target_replacement_test, requests_in_flight_do_not_delay_the_trial)
{
    ASSERT_EQ(place(make_request()), "t");
    ASSERT_EQ(place(make_request()), "t");
    end_attempt(last_, attempt_result::misdirected);
    pass(1s);
    end_attempt(last_, attempt_result::misdirected);
    EXPECT_EQ(time_to_trial(), duration(1s));
}

TEST_F(target_replacement_test, answer_to_a_request_in_flight_ends_the_wait)
{
    ASSERT_EQ(place(make_request()), "t");
    ASSERT_EQ(place(make_request()), "t");
    end_attempt(last_, attempt_result::misdirected);
    EXPECT_EQ(place(make_request()), "");
    end_attempt(last_);
    EXPECT_EQ(place(make_request()), "t");
}

TEST_F(target_replacement_test, target_at_another_address_is_used_at_once)
{
    ASSERT_EQ(place(make_request()), "t");
    end_attempt(last_, attempt_result::misdirected);
    records_.front().address = "10.0.0.2:80";
    adopt();
    EXPECT_EQ(place(make_request()), "t");
    EXPECT_EQ(place(make_request()), "t");
}

TEST_F(target_replacement_test, withdrawn_target_is_not_tried_again)
{
    ASSERT_EQ(place(make_request()), "t");
    end_attempt(last_, attempt_result::misdirected);
    records_.front().standing = target_standing::draining;
    adopt();
    pass(20s);
    EXPECT_EQ(place(make_request()), "");
    records_.front().standing = target_standing::serving;
    adopt();
    ASSERT_EQ(place(make_request()), "t");
    dispatcher_.record_notice(record("t"), leaving(), clock_.now());
    end_attempt(last_);
    EXPECT_EQ(place(make_request()), "");
}

} // namespace
} // namespace pomelohinge
