#include "main/explain/request_timeline.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class explain_test : public testing::Test
{
protected:
    request_timeline explain(std::string_view text)
    {
        return build_timeline("r1", read_log_records(text, found_));
    }

    findings found_{"vm-1.log"};
};

TEST_F(explain_test, refusal_for_rate_exceeded_explains_counted_grants)
{
    auto const timeline = explain(
        R"({"time_ms":10,"number":205,"event":"rate_used_up","level":"info","request":"r1","organisation":"pub","rate":7.0,"burst":7,"share":0.25,"demand":2.0,"demand_elsewhere":6.0,"granted_by_all":42.0})"
        "\n"
        R"({"time_ms":11,"number":201,"event":"request_refused","level":"info","request":"r1","kind":"rate_exceeded","outcome":"not_run","detail":"d","ms":1,"limit_ms":900})"
        "\n");
    EXPECT_TRUE(found_.empty());
    ASSERT_EQ(timeline.lines.size(), 2u);
    EXPECT_NE(timeline.cause.find("rate_exceeded"), std::string::npos);
    EXPECT_NE(timeline.cause.find("42 granted by all VMs"), std::string::npos);
}

TEST_F(explain_test, lines_of_several_vms_are_ordered_by_time)
{
    auto const timeline = explain(
        R"(1.5 vm-2 {"time_ms":30,"event":"attempt_ended","request":"r1","target":"t1","result":"timed_out","attempt":1,"ms":800,"status":0})"
        "\n"
        R"(1.0 vm-2 {"time_ms":20,"event":"request_sent","request":"r1","target":"t1"})"
        "\n"
        R"(0.5 vm-1 {"time_ms":5,"event":"hub_chosen","hub":"vm-9"})"
        "\n"
        R"(0.6 vm-2 {"time_ms":6,"event":"hub_chosen","hub":"vm-3"})"
        "\n"
        R"(0.7 vm-2 {"time_ms":7,"event":"target_state_changed","target":"t2"})"
        "\n"
        R"(0.8 vm-2 {"time_ms":8,"event":"target_state_changed","target":"t1"})"
        "\n");
    ASSERT_EQ(timeline.lines.size(), 2u);
    EXPECT_EQ(timeline.lines.front().event, log_event::request_sent);
    EXPECT_EQ(timeline.lines.front().source, "vm-2");
    ASSERT_EQ(timeline.entry_vm_state.size(), 2u);
    EXPECT_EQ(timeline.entry_vm_state[0].text("hub"), "vm-3");
    EXPECT_EQ(timeline.entry_vm_state[1].text("target"), "t1");
    EXPECT_NE(timeline.cause.find("no end is logged"), std::string::npos);
}

TEST_F(explain_test, truncated_and_foreign_lines_are_reported_and_skipped)
{
    auto const timeline = explain(
        "a line of another program\n"
        R"({"time_ms":10,"event":"request_answered","request":"r1","status":200,"target":"t1","ms":900,"goal_ms":500,"attempts":1})"
        "\n"
        R"({"time_ms":11,"event":"request_sent","requ)");
    ASSERT_EQ(found_.items().size(), 2u);
    EXPECT_EQ(found_.items()[0].position.line, 1u);
    EXPECT_EQ(found_.items()[1].position.line, 3u);
    EXPECT_NE(timeline.cause.find("later than its goal"), std::string::npos);
}

TEST_F(explain_test, unknown_request_has_no_lines_but_a_cause)
{
    auto const timeline = explain("");
    EXPECT_TRUE(timeline.lines.empty());
    EXPECT_NE(to_text(timeline).find("no line names"), std::string::npos);
    EXPECT_EQ(to_json(timeline)["lines"].size(), 0u);
}

} // namespace
} // namespace pomelohinge
