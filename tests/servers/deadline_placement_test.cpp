#include "tests/servers/dispatch_fixture.hpp"

namespace pomelohinge {
namespace {

/// One entry VM that places requests by deadline.
class deadline_placement_test : public dispatch_fixture
{
protected:
    deadline_placement_test()
    {
        placement_settings settings;
        settings.mode = placement_mode::by_deadline;
        dispatcher_.set_placement(settings);
    }

    placement_request make_timed(duration goal, duration deadline) const
    {
        placement_request it;
        it.service = service_id("shop");
        it.route = route_id("short");
        it.priority = 1;
        it.goal_at = clock_.now() + goal;
        it.start_deadline = it.deadline_at = clock_.now() + deadline;
        return it;
    }

    /// Lets another VM report `faults` of each of the targets.
    void report_faults(std::vector<std::string> const& names, int faults)
    {
        traffic_report report;
        for (auto const& it : names)
            report.targets[it].faults = static_cast<std::uint32_t>(faults);
        dispatcher_.apply_report(report, clock_.now());
    }

    /// Submits requests until none is placed at once.
    void fill(std::size_t slots)
    {
        for (std::size_t it = 0; it < slots; ++it)
            ASSERT_NE(place(make_timed(1s, 2s)), "");
    }
};

/// Requests were queued until their deadline for a slot that none of them may
/// take, however long the queue was.
TEST_F(deadline_placement_test, free_suspect_elsewhere_admits_no_request)
{
    add("e", "east");
    add("w", "west");
    adopt();
    report_faults({"w"}, 1);
    fill(2);
    for (int it = 0; it < 100; ++it)
        EXPECT_EQ(place(make_timed(100ms, 200ms)), "");
    EXPECT_LE(dispatcher_.queue_length(), 10U);
}

/// A retry waited for its deadline if the best suspect was the one that it had
/// tried.
TEST_F(deadline_placement_test, retry_goes_to_the_other_suspect)
{
    add("a");
    add("b");
    adopt();
    report_faults({"a", "b"}, 3);
    for (std::string const tried : {"a", "b"}) {
        auto request = make_timed(1s, 2s);
        request.tried.emplace_back(tried);
        auto const placed = place(request);
        EXPECT_EQ(placed, tried == "a" ? "b" : "a");
        if (!placed.empty())
            end_attempt(last_, attempt_result::cancelled);
    }
}

/// Requests were refused for as long as the slots were held, after one failure
/// of a target that fails rarely.
TEST_F(deadline_placement_test, requests_wait_for_a_full_only_suspect)
{
    add("t", "east", 2);
    adopt();
    report_faults({"t"}, 1);
    clock_.advance(200ms);
    fill(2);
    EXPECT_EQ(place(make_timed(1s, 2s)), "");
    EXPECT_EQ(dispatcher_.queue_length(), 1U);
}

/// The slots of a target that has shed requests counted as taken until the
/// next report, which may not come while the hub is replaced.
TEST_F(deadline_placement_test, target_that_has_shed_is_used_without_reports)
{
    add("t", "east", 4);
    adopt();
    fill(4);
    for (int it = 0; it < 4; ++it)
        end_attempt(record("t"), attempt_result::shed, 5ms);
    EXPECT_EQ(place(make_timed(1s, 2s)), "");
    clock_.advance(1s);
    dispatcher_.tick(clock_.now());
    EXPECT_EQ(place(make_timed(1s, 2s)), "t");
}

/// A target that fails by shedding all requests was taken for a full one
/// after each report.
TEST_F(deadline_placement_test, target_that_sheds_everything_loses_trust)
{
    add("t", "east", 4);
    adopt();
    for (int round = 0; round < 10; ++round) {
        dispatcher_.apply_report({}, clock_.now());
        std::vector<target_record> placed;
        while (placed.size() < 4 && place(make_timed(1s, 2s)) == "t")
            placed.push_back(last_);
        for (auto const& it : placed)
            end_attempt(it, attempt_result::shed, 5ms);
        clock_.advance(200ms);
    }
    EXPECT_NE(dispatcher_.find(target_id("t"))->health().state(),
        target_state::trusted);
}

/// Requests with a long holding time were left to probe although their goal
/// leaves no time for another attempt, so that no request probed.
TEST_F(deadline_placement_test, short_requests_probe_if_long_ones_can_not)
{
    add("a", "east", 20);
    add("b", "east", 20);
    adopt();
    for (int it = 0; it < 8; ++it) {
        dispatcher_.add_holding_time(
            service_id("shop"), route_id("short"), 50ms);
        dispatcher_.add_holding_time(service_id("shop"), route_id("long"), 1s);
    }
    auto request = make_timed(1500ms, 2s);
    request.route = route_id("long");
    request.retryable = true;
    place(request);
    place(request);
    report_faults({"b"}, 1);
    ASSERT_EQ(dispatcher_.find(target_id("b"))->health().state(),
        target_state::suspect);
    if (dispatcher_.find(target_id("b"))->in_flight() > 0)
        end_attempt(record("b"), attempt_result::cancelled);
    clock_.advance(500ms);
    std::size_t probes = 0;
    for (int it = 0; it < 5; ++it) {
        auto short_request = make_timed(1s, 2s);
        short_request.retryable = true;
        probes += place(short_request) == "b" ? 1 : 0;
    }
    EXPECT_EQ(probes, 1U);
}

} // namespace
} // namespace pomelohinge
