#include "tests/servers/dispatch_fixture.hpp"

namespace pomelohinge {
namespace {

/// What targets say of themselves in their answers.
class target_notice_test : public dispatch_fixture
{
};

TEST_F(target_notice_test, target_that_says_that_it_leaves_gets_no_requests)
{
    dispatcher_.set_floor(1);
    add("leaves");
    add("stays");
    adopt();
    dispatcher_.record_notice(record("leaves"), leaving(), clock_.now());
    for (int it = 0; it < 20; ++it) {
        EXPECT_EQ(place(make_request()), "stays");
        end_attempt(last_);
        clock_.advance(500ms);
        dispatcher_.tick(clock_.now());
    }
}

TEST_F(target_notice_test,
    leaving_target_that_the_store_lists_again_gets_no_requests)
{
    add("leaves");
    adopt();
    dispatcher_.record_notice(record("leaves"), leaving(), clock_.now());
    auto const listed = std::exchange(records_, {});
    adopt();
    clock_.advance(10s);
    dispatcher_.tick(clock_.now());
    records_ = listed;
    adopt();
    EXPECT_EQ(place(make_request()), "");
}

TEST_F(target_notice_test, late_notice_of_an_earlier_incarnation_is_ignored)
{
    add("t");
    adopt();
    auto const before = record("t");
    dispatcher_.record_notice(before, leaving(), clock_.now());
    records_.front().incarnation = 2;
    adopt();
    EXPECT_EQ(place(make_request()), "t");
    end_attempt(last_);
    dispatcher_.record_notice(before, leaving(), clock_.now());
    EXPECT_EQ(place(make_request()), "t");
}

TEST_F(target_notice_test,
    paused_target_gets_nothing_and_then_one_request_at_a_time)
{
    dispatcher_.set_floor(1);
    add("pauses", "east", 4);
    add("other", "east", 1);
    adopt();
    dispatcher_.record_notice(record("pauses"), pause(2s), clock_.now());
    // A shorter pause that is asked for later does not shorten it.
    dispatcher_.record_notice(record("pauses"), pause(100ms), clock_.now());
    for (int it = 0; it < 19; ++it) {
        clock_.advance(100ms);
        dispatcher_.tick(clock_.now());
        EXPECT_EQ(place(make_request()), "other");
        end_attempt(last_);
    }
    clock_.advance(200ms);
    dispatcher_.tick(clock_.now());
    ASSERT_EQ(place(make_request()), "pauses");
    EXPECT_EQ(place(make_request()), "other");
    EXPECT_EQ(place(make_request()), "");
    end_attempt(record("pauses"));
    EXPECT_EQ(place(make_request()), "pauses");
    EXPECT_EQ(place(make_request()), "pauses");
}

TEST_F(target_notice_test, requests_wait_for_pauses_that_end_in_time)
{
    add("a");
    add("b");
    adopt();
    for (auto const* it : {"a", "b"})
        dispatcher_.record_notice(record(it), pause(300ms), clock_.now());
    int placed = 0;
    for (int it = 0; it < 4; ++it)
        (void)dispatcher_.submit(
            make_request(),
            [&](placement_decision decision) {
                placed += std::holds_alternative<placement>(decision) ? 1 : 0;
            },
            clock_.now());
    dispatcher_.tick(clock_.now());
    EXPECT_EQ(placed, 0);
    clock_.advance(310ms);
    dispatcher_.tick(clock_.now());
    // One for each target, although all of them wait.
    EXPECT_EQ(placed, 2);
}

TEST_F(
    target_notice_test, requests_are_rejected_with_the_wait_for_the_first_pause)
{
    add("a");
    add("b");
    adopt();
    dispatcher_.record_notice(record("a"), pause(9s), clock_.now());
    dispatcher_.record_notice(record("b"), pause(4s), clock_.now());
    auto const it = dispatcher_.submit(
        make_request(), [](placement_decision) {}, clock_.now());
    auto const& rejection =
        std::get<placement_rejection>(std::get<placement_decision>(it));
    EXPECT_EQ(rejection.reason, rejection_reason::overloaded);
    EXPECT_EQ(rejection.retry_after, 4s);
}

} // namespace
} // namespace pomelohinge
