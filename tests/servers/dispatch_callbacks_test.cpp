#include "tests/servers/dispatch_fixture.hpp"

namespace pomelohinge {
namespace {

/// One target whose only slot is taken, so that all requests are queued.
class dispatch_callbacks_test : public dispatch_fixture
{
protected:
    dispatch_callbacks_test()
    {
        add("t", "east", 1);
        adopt();
        EXPECT_EQ(place(make_request()), "t");
    }

    ticket queue(
        dispatcher::decision_callback on_decision, duration max_wait = 1s)
    {
        auto request = make_request();
        request.start_deadline = clock_.now() + max_wait;
        auto const it =
            dispatcher_.submit(request, std::move(on_decision), clock_.now());
        EXPECT_TRUE(std::holds_alternative<ticket>(it));
        return std::get<ticket>(it);
    }

    /// Submits a request for each of many services that are not known yet, so
    /// that any hash table of services grows.
    void submit_for_new_services()
    {
        for (int it = 0; it < 100; ++it) {
            auto request = make_request();
            request.service = service_id("new-" + std::to_string(it));
            (void)dispatcher_.submit(
                request, [](placement_decision) {}, clock_.now());
        }
    }

    std::int64_t in_flight()
    {
        return dispatcher_.find(target_id("t"))->in_flight();
    }
};

TEST_F(dispatch_callbacks_test, rejection_may_start_requests_for_new_services)
{
    queue([&](placement_decision) { submit_for_new_services(); });
    clock_.advance(600ms);
    std::string received;
    queue([&](placement_decision decision) {
        received = std::get<placement>(decision).target.id.text();
    });
    clock_.advance(500ms);
    end_attempt(record("t"));
    EXPECT_EQ(received, "t");
}

TEST_F(dispatch_callbacks_test, placement_may_start_requests_for_new_services)
{
    int placed = 0;
    for (int it = 0; it < 3; ++it)
        queue(
            [&](placement_decision decision) {
                submit_for_new_services();
                ++placed;
                end_attempt(std::get<placement>(decision).target);
            },
            1min);
    end_attempt(record("t"));
    EXPECT_EQ(placed, 3);
    EXPECT_EQ(in_flight(), 0);
}

TEST_F(dispatch_callbacks_test, new_policy_may_start_requests_for_new_services)
{
    queue([&](placement_decision) { submit_for_new_services(); });
    records_.front().slots = 2;
    adopt();
    EXPECT_EQ(dispatcher_.queue_length(), 0u);
}

TEST_F(dispatch_callbacks_test, report_may_start_requests_for_new_services)
{
    queue([&](placement_decision) { submit_for_new_services(); });
    clock_.advance(1100ms);
    dispatcher_.apply_report({}, clock_.now());
    EXPECT_EQ(dispatcher_.queue_length(), 0u);
}

/// A slot that a callback gave back was given away inside that callback, once
/// for each request in the queue, each time with a copy of the queue.
TEST_F(dispatch_callbacks_test, callback_is_not_called_inside_another_one)
{
    int depth = 0;
    int deepest = 0;
    int ended = 0;
    for (int it = 0; it < 20; ++it)
        queue(
            [&](placement_decision decision) {
                deepest = std::max(deepest, ++depth);
                end_attempt(std::get<placement>(decision).target);
                ++ended;
                --depth;
            },
            1min);
    end_attempt(record("t"));
    EXPECT_EQ(ended, 20);
    EXPECT_EQ(deepest, 1);
    EXPECT_EQ(in_flight(), 0);
}

/// A target that was missing in one list got more requests than it has slots.
TEST_F(dispatch_callbacks_test, target_that_is_listed_again_keeps_its_requests)
{
    auto const listed = records_;
    records_.clear();
    adopt();
    EXPECT_EQ(place(make_request()), "");
    records_ = listed;
    adopt();
    EXPECT_EQ(in_flight(), 1);
    end_attempt(record("t"));
    EXPECT_EQ(in_flight(), 0);
}

TEST_F(dispatch_callbacks_test, target_listed_again_later_has_no_old_requests)
{
    auto const listed = records_;
    records_.clear();
    adopt();
    end_attempt(listed.front());
    records_ = listed;
    adopt();
    EXPECT_EQ(in_flight(), 0);
    EXPECT_EQ(place(make_request()), "t");
}

TEST_F(dispatch_callbacks_test, rejected_request_may_withdraw_the_next_one)
{
    ticket second = 0;
    bool second_called = false;
    queue([&](placement_decision) {
        dispatcher_.withdraw(second, clock_.now());
    });
    second = queue([&](placement_decision) { second_called = true; });
    clock_.advance(1100ms);
    dispatcher_.tick(clock_.now());
    EXPECT_FALSE(second_called);
    EXPECT_EQ(dispatcher_.queue_length(), 0u);
}

TEST_F(dispatch_callbacks_test, placed_request_that_is_withdrawn_frees_its_slot)
{
    ticket second = 0;
    bool second_called = false;
    queue([&](placement_decision) {
        dispatcher_.withdraw(second, clock_.now());
    });
    second = queue([&](placement_decision) { second_called = true; });
    records_.front().slots = 3;
    adopt();
    EXPECT_FALSE(second_called);
    EXPECT_EQ(in_flight(), 2);
}

} // namespace
} // namespace pomelohinge
