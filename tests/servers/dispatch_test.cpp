#include "tests/servers/dispatch_fixture.hpp"

#include <deque>

namespace pomelohinge {
namespace {

class dispatch_test : public dispatch_fixture
{
};

TEST_F(dispatch_test, requests_fill_local_targets_before_remote_ones)
{
    add("local-1");
    add("local-2");
    add("remote-1", "west");
    adopt();
    std::multiset<std::string> received;
    for (int it = 0; it < 4; ++it)
        received.insert(place(make_request()));
    EXPECT_EQ(received.count("local-1"), 2u);
    EXPECT_EQ(received.count("local-2"), 2u);
    EXPECT_EQ(place(make_request()), "remote-1");
}

TEST_F(dispatch_test, requests_of_other_vms_occupy_slots)
{
    add("t");
    adopt();
    traffic_report others;
    others.targets["t"].in_flight = 2;
    dispatcher_.apply_report(others, clock_.now());
    EXPECT_EQ(place(make_request()), "");
}

TEST_F(dispatch_test, draining_target_and_closed_data_centre_get_no_requests)
{
    add("draining").standing = target_standing::draining;
    add("closed", "west");
    closed_.insert(data_centre_id("west"));
    adopt();
    auto const it = dispatcher_.submit(
        make_request(), [](placement_decision) {}, clock_.now());
    auto const& rejection =
        std::get<placement_rejection>(std::get<placement_decision>(it));
    EXPECT_EQ(rejection.reason, rejection_reason::no_target);
    EXPECT_GT(rejection.retry_after, duration::zero());
}

TEST_F(dispatch_test, request_already_sent_to_a_target_goes_to_another)
{
    add("t1");
    add("t2");
    adopt();
    auto request = make_request();
    request.tried = {target_id("t1")};
    for (int it = 0; it < 2; ++it)
        EXPECT_EQ(place(request), "t2");
}

/// Requests failed at one lost target after the other, since each of these was
/// the next one that had not been in use.
TEST_F(dispatch_test, request_that_failed_once_goes_to_a_target_in_use)
{
    for (auto const* it : {"lost-1", "lost-2", "lost-3", "works"})
        add(it);
    adopt();
    attempt("works", attempt_result::answered);
    auto request = make_request();
    request.tried = {target_id("lost-1")};
    EXPECT_EQ(place(request), "works");
}

TEST_F(dispatch_test, queued_request_gets_a_slot_that_becomes_free)
{
    add("t", "east", 1);
    adopt();
    ASSERT_EQ(place(make_request()), "t");
    std::string received;
    auto const it = dispatcher_.submit(
        make_request(),
        [&](placement_decision decision) {
            received = std::get<placement>(decision).target.id.text();
        },
        clock_.now());
    EXPECT_TRUE(std::holds_alternative<ticket>(it));
    end_attempt(record("t"));
    EXPECT_EQ(received, "t");
}

TEST_F(dispatch_test, urgent_request_goes_before_one_that_waited_longer)
{
    add("t", "east", 1);
    adopt();
    ASSERT_EQ(place(make_request()), "t");
    std::vector<int> order;
    for (int const priority : {2, 1, 0})
        (void)dispatcher_.submit(
            make_request(priority),
            [&order, priority](placement_decision decision) {
                if (std::holds_alternative<placement>(decision))
                    order.push_back(priority);
            },
            clock_.now());
    for (int it = 0; it < 3; ++it)
        end_attempt(record("t"));
    EXPECT_EQ(order, (std::vector<int>{0, 1, 2}));
}

TEST_F(dispatch_test, request_that_cannot_start_in_time_is_rejected_at_once)
{
    add("t", "east", 1);
    adopt();
    ASSERT_EQ(place(make_request()), "t");
    auto request = make_request();
    request.start_deadline = clock_.now() + 50ms;
    auto const it = dispatcher_.submit(
        request, [](placement_decision) {}, clock_.now());
    auto const& rejection =
        std::get<placement_rejection>(std::get<placement_decision>(it));
    EXPECT_EQ(rejection.reason, rejection_reason::overloaded);
}

TEST_F(dispatch_test, request_queued_beyond_its_start_deadline_is_rejected)
{
    add("t", "east", 1);
    adopt();
    ASSERT_EQ(place(make_request()), "t");
    bool refused = false;
    auto const it = dispatcher_.submit(
        make_request(),
        [&](placement_decision decision) {
            refused = std::holds_alternative<placement_rejection>(decision);
        },
        clock_.now());
    ASSERT_TRUE(std::holds_alternative<ticket>(it));
    clock_.advance(1100ms);
    dispatcher_.tick(clock_.now());
    EXPECT_TRUE(refused);
    EXPECT_EQ(dispatcher_.queue_length(), 0u);
}

TEST_F(dispatch_test, suspect_gets_single_retryable_requests)
{
    add("healthy-1");
    add("healthy-2");
    add("healthy-3");
    add("failing");
    adopt();
    attempt("failing", attempt_result::server_error);
    for (int it = 0; it < 3; ++it)
        EXPECT_NE(place(make_request()), "failing");
    EXPECT_EQ(place(make_request(1, true)), "failing");
    EXPECT_NE(place(make_request(1, true)), "failing");
}

TEST_F(dispatch_test, suspects_are_used_while_too_few_targets_are_trusted)
{
    add("t1");
    add("t2");
    add("t3");
    adopt();
    for (auto const* it : {"t1", "t2"})
        attempt(it, attempt_result::server_error);
    std::set<std::string> received;
    for (int it = 0; it < 5; ++it)
        received.insert(place(make_request()));
    EXPECT_TRUE(received.contains("t1") || received.contains("t2"));
}

/// Suspects of the own data centre went before trusted targets of others, so
/// requests that cannot be repeated were lost while targets were free.
TEST_F(dispatch_test, order_goes_to_a_remote_target_before_a_local_suspect)
{
    add("local-1", "east", 6);
    add("local-2", "east", 1);
    add("remote-1", "west", 6);
    adopt();
    attempt("local-1", attempt_result::server_error);
    attempt("local-1", attempt_result::server_error);
    clock_.advance(1s);
    dispatcher_.tick(clock_.now());
    ASSERT_EQ(dispatcher_.find(target_id("local-1"))->health().state(),
        target_state::suspect);
    EXPECT_EQ(place(make_request()), "local-2");
    EXPECT_EQ(place(make_request()), "remote-1");
}

TEST_F(dispatch_test, failing_target_is_probed_by_requests_that_may_be_repeated)
{
    for (int it = 0; it < 4; ++it)
        add("t" + std::to_string(it), "east", 6);
    adopt();
    attempt("t0", attempt_result::server_error);
    attempt("t0", attempt_result::server_error);
    clock_.advance(5s);
    dispatcher_.tick(clock_.now());
    EXPECT_EQ(place(make_request(2, true)), "t0");
    for (int it = 0; it < 12; ++it)
        EXPECT_NE(place(make_request()), "t0");
}

TEST_F(dispatch_test, probe_of_another_vm_is_enough)
{
    add("t0", "east", 6);
    add("t1", "east", 6);
    adopt();
    attempt("t0", attempt_result::server_error);
    clock_.advance(2s);
    traffic_report others;
    others.targets["t0"].in_flight = 1;
    dispatcher_.apply_report(others, clock_.now());
    EXPECT_EQ(place(make_request(2, true)), "t1");
}

TEST_F(dispatch_test, target_with_two_late_attempts_becomes_suspect)
{
    add("slow");
    for (auto const* it : {"a", "b", "c"})
        add(it);
    adopt();
    dispatcher_.attempt_late(record("slow"), clock_.now());
    EXPECT_EQ(dispatcher_.find(target_id("slow"))->health().state(),
        target_state::trusted);
    dispatcher_.attempt_late(record("slow"), clock_.now());
    EXPECT_EQ(dispatcher_.find(target_id("slow"))->health().state(),
        target_state::suspect);
}

TEST_F(dispatch_test, cold_target_gets_no_more_than_its_rate)
{
    cold_rate_ = 5;
    add("cold", "east", 50).cold_until = clock_.now() + 60s;
    adopt();
    int received = 0;
    for (int it = 0; it < 1000; ++it) {
        clock_.advance(10ms);
        auto request = make_request();
        request.start_deadline = clock_.now();
        if (place(request) == "cold") {
            ++received;
            end_attempt(last_);
        }
    }
    EXPECT_LE(received, 5 * 10 + 1);
    EXPECT_GE(received, 45);
}

/// All entries of two data centres with one cold target.
class cold_fleet_test : public testing::Test
{
protected:
    static constexpr double rate = 6;
    /// The platform's limit on requests of the whole fleet within any second:
    /// `rate * excess + extra`.
    static constexpr double excess = 1.5;
    static constexpr double extra = 5;

    cold_fleet_test() : charts_(load_all_charts()) {}

    void start(int entries_each)
    {
        auto next = std::make_shared<policy>();
        service_object service;
        service.cold_requests_per_second = rate;
        next->index = std::make_shared<configuration_index>(
            configuration().with(
                {{object_kind::service, "shop", any_object(service)}}),
            1);
        target_record target;
        target.id = target_id("cold");
        target.service = service_id("shop");
        target.data_centre = data_centre_id("east");
        target.slots = 100;
        target.cold_until = clock_.now() + 1h;
        next->targets = std::make_shared<target_catalogue>(
            std::vector<target_record>{target}, 1);
        auto members = std::make_shared<fleet_members>();
        for (auto const* data_centre : {"east", "west"})
            for (int it = 0; it < entries_each; ++it) {
                fleet_member member;
                member.record.vm = vm_id(data_centre + std::to_string(it));
                member.record.data_centre = data_centre_id(data_centre);
                member.alive = member.entry = true;
                members->push_back(member);
            }
        next->members = members;
        next->ready = true;
        for (auto const& it : *members) {
            entries_.push_back(std::make_unique<dispatcher>(charts_.target,
                it.record.vm, it.record.data_centre, 1,
                [](std::string const&) { return false; }));
            entries_.back()->adopt(next, clock_.now());
        }
    }

    /// Sends from every entry whenever possible. Returns the maximum number of
    /// requests within any second.
    std::size_t max_per_second()
    {
        std::deque<time_point> sent;
        std::size_t max_sent = 0;
        for (int step = 0; step < 2000; ++step) {
            clock_.advance(10ms);
            for (auto& it : entries_) {
                placement_request request;
                request.service = service_id("shop");
                request.start_deadline = clock_.now();
                auto const decided = it->submit(
                    request, [](placement_decision) {}, clock_.now());
                auto const* const decision =
                    std::get_if<placement_decision>(&decided);
                if (decision == nullptr ||
                    !std::holds_alternative<placement>(*decision))
                    continue;
                it->attempt_ended(std::get<placement>(*decision).target,
                    attempt_result::answered, 1ms, clock_.now());
                sent.push_back(clock_.now());
                ++total_;
            }
            while (!sent.empty() && clock_.now() - sent.front() >= 1s)
                sent.pop_front();
            max_sent = std::max(max_sent, sent.size());
        }
        return max_sent;
    }

    chart_list charts_;
    manual_clock clock_;
    std::vector<std::unique_ptr<dispatcher>> entries_;
    std::size_t total_ = 0;
};

TEST_F(cold_fleet_test, many_entries_together_stay_within_the_cold_rate)
{
    start(40);
    EXPECT_LE(static_cast<double>(max_per_second()), rate * excess + extra);
    EXPECT_GE(static_cast<double>(total_), rate * 20 * 0.8);
}

TEST_F(cold_fleet_test, single_entry_uses_the_whole_rate)
{
    start(1);
    EXPECT_LE(static_cast<double>(max_per_second()), rate * excess + extra);
    EXPECT_GE(static_cast<double>(total_), rate * 20 * 0.8);
}

TEST_F(dispatch_test, new_incarnation_starts_without_health_history)
{
    for (auto const* it : {"a", "b", "c"})
        add(it);
    adopt();
    auto const before = record("a");
    attempt("a", attempt_result::server_error);
    records_.front().incarnation = 2;
    adopt();
    EXPECT_EQ(dispatcher_.find(target_id("a"))->health().state(),
        target_state::trusted);
    // This attempt was sent to the previous incarnation.
    end_attempt(before, attempt_result::server_error);
    EXPECT_EQ(dispatcher_.find(target_id("a"))->health().state(),
        target_state::trusted);
}

TEST_F(dispatch_test, low_load_keeps_the_floor_of_targets_in_use)
{
    constexpr std::size_t n = 10;
    constexpr double floor = 0.7;
    dispatcher_.set_floor(floor);
    for (std::size_t it = 0; it < n; ++it)
        add("t" + std::to_string(it));
    adopt();
    for (int window = 0; window < 10; ++window) {
        std::set<std::string> used;
        // Ten requests per second for two seconds. Every fifth is urgent, and
        // one target fails every request.
        for (int it = 0; it < 20; ++it) {
            used.insert(place(make_request(it % 5 == 0 ? 0 : 1)));
            clock_.advance(100ms);
            end_attempt(last_,
                last_.id.text() == "t3" ? attempt_result::server_error
                                        : attempt_result::answered,
                50ms);
            dispatcher_.tick(clock_.now());
        }
        EXPECT_GE(static_cast<double>(used.size()), floor * n) << window;
    }
}

TEST_F(dispatch_test, healthy_targets_among_many_failing_ones_stay_in_use)
{
    constexpr std::size_t n = 24;
    constexpr std::size_t failing = 14;
    constexpr double floor = 0.7;
    dispatcher_.set_floor(floor);
    std::set<std::string> failing_targets;
    for (std::size_t it = 0; it < n; ++it) {
        add("t" + std::to_string(it));
        if (it < failing)
            failing_targets.insert("t" + std::to_string(it));
    }
    adopt();
    for (int window = 0; window < 10; ++window) {
        std::set<std::string> used;
        // Fifteen requests per second for two seconds: little more than the
        // number of targets in use.
        for (int it = 0; it < 30; ++it) {
            auto const target =
                place(make_request(it % 5 == 0 ? 0 : 1, it % 4 == 0));
            clock_.advance(66ms);
            if (!failing_targets.contains(target))
                used.insert(target);
            end_attempt(last_,
                failing_targets.contains(target) ? attempt_result::server_error
                                                 : attempt_result::answered,
                50ms);
            dispatcher_.tick(clock_.now());
        }
        if (window > 0)
            EXPECT_GE(static_cast<double>(used.size()), floor * (n - failing))
                << window;
    }
}

TEST_F(dispatch_test, requests_of_lost_vms_do_not_count_as_use_of_a_target)
{
    constexpr std::size_t n = 10;
    constexpr double floor = 0.7;
    dispatcher_.set_floor(floor);
    traffic_report others;
    for (std::size_t it = 0; it < n; ++it) {
        add("t" + std::to_string(it));
        if (it < 5)
            others.targets["t" + std::to_string(it)].in_flight = 1;
    }
    adopt();
    dispatcher_.apply_report(others, clock_.now());
    std::set<std::string> used;
    for (int it = 0; it < 20; ++it) {
        used.insert(place(make_request()));
        clock_.advance(100ms);
        end_attempt(last_, attempt_result::answered, 50ms);
        dispatcher_.apply_report(others, clock_.now());
        dispatcher_.tick(clock_.now());
    }
    EXPECT_GE(static_cast<double>(used.size()), floor * n);
}

/// A target's leaving was known from the store only, which a VM may not reach.
TEST_F(dispatch_test, target_whose_address_was_reused_gets_no_requests)
{
    add("t1");
    adopt();
    EXPECT_EQ(place(make_request()), "t1");
    end_attempt(last_, attempt_result::misdirected);
    EXPECT_EQ(place(make_request()), "");
    adopt();
    EXPECT_EQ(place(make_request()), "");
    records_.front().address = "10.0.0.2:80";
    adopt();
    EXPECT_EQ(place(make_request()), "t1");
}

TEST_F(
    dispatch_test, unobserved_ejected_target_is_probed_by_a_less_urgent_request)
{
    add("healthy-1");
    add("healthy-2");
    add("healthy-3");
    add("failing");
    adopt();
    attempt("failing", attempt_result::server_error);
    dispatcher_.attempt_overdue(record("failing"), clock_.now());
    ASSERT_EQ(dispatcher_.find(target_id("failing"))->health().state(),
        target_state::ejected);
    // While the service fails, targets that may have recovered are probed
    // sooner.
    for (int it = 0; it < 50; ++it)
        dispatcher_.request_ended(
            service_id("shop"), false, target_state::trusted);
    clock_.advance(1900ms);
    EXPECT_NE(place(make_request(0)), "failing");
    EXPECT_EQ(place(make_request(2)), "failing");
}

TEST_F(dispatch_test, least_urgent_requests_are_not_starved_under_overload)
{
    add("t", "east", 1);
    adopt();
    std::map<int, int> submitted, started;
    std::vector<int> running;
    for (int step = 0; step < 4000; ++step) {
        clock_.advance(10ms);
        // One slot at 50 ms per request serves 20 requests per second; 40
        // arrive.
        if (step % 5 == 0 && dispatcher_.find(target_id("t"))->in_flight() > 0)
            end_attempt(record("t"), attempt_result::answered, 50ms);
        if (step % 5 < 2) {
            int const priority = step % 5 == 0 ? 0 : 2;
            ++submitted[priority];
            auto request = make_request(priority);
            request.start_deadline = clock_.now() + 400ms;
            auto const it = dispatcher_.submit(
                request,
                [&started, priority](placement_decision decision) {
                    started[priority] +=
                        std::holds_alternative<placement>(decision);
                },
                clock_.now());
            auto const* const decision = std::get_if<placement_decision>(&it);
            if (decision != nullptr &&
                std::holds_alternative<placement>(*decision))
                ++started[priority];
        }
    }
    auto const share = [&](int it) {
        return static_cast<double>(started[it]) / submitted[it];
    };
    auto const overall = static_cast<double>(started[0] + started[2]) /
        (submitted[0] + submitted[2]);
    EXPECT_GT(share(0), share(2));
    EXPECT_GE(share(2), overall / 4);
}

} // namespace
} // namespace pomelohinge
