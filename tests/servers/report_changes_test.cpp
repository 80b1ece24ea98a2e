#include "servers/exchange/report_receiver.hpp"
#include "servers/exchange/report_sender.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// A hub that reports to the hub of another data centre every 0.25 s.
class report_changes_test : public testing::Test
{
protected:
    static constexpr double ample_budget = 1e6;
    /// Less than the headers take, so that nothing is left for rows.
    static constexpr double no_budget = 1;
    static constexpr duration period = 250ms;

    report_changes_test() { sender_.set_rate(ample_budget); }

    report_changes make()
    {
        auto changes = sender_.make(
            current_, [this](auto const& it) { return usage_[it]; },
            clock_.now());
        for (auto& [name, it] : current_.targets)
            it = {it.in_flight, 0, 0, 0};
        return changes;
    }

    /// Sends a message and its reply. Returns whether the sender has to send
    /// the complete report at once.
    bool exchange()
    {
        clock_.advance(period);
        last_ = make();
        received_ = receiver_.apply(last_, clock_.now());
        return sender_.record_reply(receiver_.position(), clock_.now());
    }

    void exchange_for(duration length)
    {
        for (duration at{}; at < length; at += period)
            exchange();
    }

    /// Sets grants that were all made within the last second.
    void set_grants(std::string const& organisation, double count)
    {
        auto& it = current_.organisations[organisation];
        it.demand = count;
        it.granted = it.grants.within_window = count;
        it.grants.within_steps.fill(count);
    }

    double received_grants(std::string const& organisation) const
    {
        auto const it = received_->organisations.find(organisation);
        return it == received_->organisations.end()
            ? 0
            : it->second.grants.within_window;
    }

    manual_clock clock_;
    traffic_report current_;
    std::map<std::string, organisation_usage> usage_;
    report_sender sender_{7};
    report_receiver receiver_;
    report_changes last_;
    std::optional<traffic_report> received_;
};

TEST_F(report_changes_test, first_message_has_the_complete_report)
{
    current_.targets["t1"] = {2, 3, 1, 0};
    set_grants("small", 4);
    current_.load = 12;
    current_.entries = 2;
    exchange();
    ASSERT_TRUE(received_);
    EXPECT_TRUE(last_.is_complete());
    EXPECT_EQ(received_->targets["t1"], (target_report{2, 3, 1, 0}));
    EXPECT_EQ(
        received_->organisations["small"], current_.organisations["small"]);
    EXPECT_EQ(received_->entries, 2u);
}

/// A report that leaves out an organisation counted as zero grants, and the
/// fleet granted more than its limit.
TEST_F(report_changes_test, organisation_without_a_row_keeps_its_grants)
{
    set_grants("small", 4);
    exchange();
    exchange();
    EXPECT_TRUE(last_.organisations.empty());
    EXPECT_EQ(received_grants("small"), 4);
}

TEST_F(report_changes_test, failure_is_in_the_next_message_without_budget)
{
    current_.targets["t1"].in_flight = 1;
    exchange();
    sender_.set_rate(no_budget);
    exchange();
    current_.targets["t1"].faults = 1;
    current_.targets["t2"].silences = 1;
    exchange();
    EXPECT_EQ(received_->targets["t1"].faults, 1u);
    EXPECT_EQ(received_->targets["t2"].silences, 1u);
}

TEST_F(report_changes_test,
    grants_near_the_limit_are_in_the_next_message_without_budget)
{
    usage_["busy"] = {70, 100};
    set_grants("busy", 30);
    exchange();
    sender_.set_rate(no_budget);
    for (int count = 31; count < 40; ++count) {
        set_grants("busy", count);
        exchange();
        EXPECT_EQ(received_grants("busy"), count);
    }
}

TEST_F(report_changes_test,
    sudden_grants_far_from_the_limit_are_in_the_next_message)
{
    usage_["calm"] = {5, 100};
    set_grants("calm", 5);
    exchange();
    sender_.set_rate(no_budget);
    set_grants("calm", 16);
    exchange();
    EXPECT_EQ(received_grants("calm"), 16);
}

/// An organisation whose burst is over must not count as granting on.
TEST_F(report_changes_test, burst_that_ends_is_in_the_next_message)
{
    usage_["calm"] = {40, 100};
    set_grants("calm", 40);
    exchange();
    sender_.set_rate(no_budget);
    current_.organisations["calm"].grants.within_steps[0] = 0;
    exchange();
    EXPECT_EQ(received_->organisations["calm"].grants.within_steps[0], 0);
}

TEST_F(report_changes_test, small_changes_are_left_out_until_a_complete_report)
{
    usage_["calm"] = {10, 1000};
    set_grants("calm", 10);
    exchange();
    set_grants("calm", 11);
    current_.organisations["calm"].demand = 10;
    exchange_for(2s);
    EXPECT_EQ(received_grants("calm"), 10);
    exchange_for(3s);
    EXPECT_EQ(received_grants("calm"), 11);
}

TEST_F(report_changes_test, organisation_without_demand_and_grants_is_removed)
{
    set_grants("gone", 20);
    exchange();
    current_.organisations.clear();
    exchange_for(1500ms);
    EXPECT_FALSE(received_->organisations.contains("gone"));
}

/// Observations were delivered twice or lost when rows waited for the budget.
TEST_F(report_changes_test, answers_are_delivered_once)
{
    std::uint32_t delivered = 0;
    for (int n = 0; n < 30; ++n) {
        if (n < 20)
            current_.targets["t1"].answers = 2;
        exchange();
        delivered += received_->targets["t1"].answers;
    }
    EXPECT_EQ(delivered, 40u);
}

TEST_F(report_changes_test, answers_of_a_target_that_failed_are_not_delayed)
{
    current_.targets["t1"] = {1, 0, 1, 0};
    exchange();
    current_.targets["t1"].answers = 1;
    exchange();
    EXPECT_EQ(received_->targets["t1"].answers, 1u);
}

TEST_F(report_changes_test, message_after_a_lost_question_is_complete)
{
    set_grants("small", 4);
    exchange();
    make();
    sender_.record_failure();
    set_grants("small", 9);
    exchange();
    EXPECT_TRUE(last_.is_complete());
    EXPECT_EQ(received_grants("small"), 9);
}

TEST_F(report_changes_test, message_after_a_lost_reply_is_complete)
{
    exchange();
    set_grants("small", 4);
    receiver_.apply(make(), clock_.now());
    sender_.record_failure();
    current_.organisations.clear();
    exchange();
    EXPECT_TRUE(last_.is_complete());
    EXPECT_EQ(received_grants("small"), 0);
}

/// A restarted hub took the changes for the complete report.
TEST_F(report_changes_test, restarted_receiver_gets_the_complete_report_at_once)
{
    set_grants("small", 4);
    exchange();
    receiver_ = {};
    current_.targets["t1"].faults = 1;
    EXPECT_TRUE(exchange());
    EXPECT_FALSE(received_);
    EXPECT_FALSE(exchange());
    ASSERT_TRUE(received_);
    EXPECT_EQ(received_grants("small"), 4);
    EXPECT_EQ(received_->targets["t1"].faults, 1u);
}

TEST_F(report_changes_test, restarted_sender_replaces_what_was_held)
{
    set_grants("old", 4);
    exchange();
    sender_ = report_sender(99);
    current_.organisations.clear();
    set_grants("new", 2);
    exchange();
    EXPECT_EQ(received_grants("old"), 0);
    EXPECT_EQ(received_grants("new"), 2);
}

TEST_F(report_changes_test, overtaken_message_is_not_used)
{
    exchange();
    set_grants("small", 30);
    auto const late = make();
    sender_.record_reply({}, clock_.now());
    exchange();
    EXPECT_FALSE(receiver_.apply(late, clock_.now()));
    EXPECT_EQ(receiver_.position(), last_.position);
}

TEST_F(report_changes_test, row_without_a_name_is_refused)
{
    exchange();
    auto changes = make();
    changes.targets.push_back({77, {1, 0, 0, 0}});
    EXPECT_FALSE(receiver_.apply(changes, clock_.now()));
    EXPECT_EQ(receiver_.position(), report_position());
}

TEST_F(report_changes_test, rows_that_are_not_urgent_keep_to_the_budget)
{
    constexpr double rate = 2000;
    constexpr std::size_t row_bytes = 7;
    for (int n = 0; n < 2000; ++n)
        current_.targets[fmt::format("t{}", n)].in_flight = 1;
    exchange();
    sender_.set_rate(rate);
    std::size_t rows = 0;
    for (int n = 0; n < 40; ++n) {
        for (auto& [name, it] : current_.targets)
            it.in_flight = 1 + it.in_flight % 3;
        exchange();
        if (!last_.is_complete())
            rows += last_.targets.size();
    }
    EXPECT_LE(rows * row_bytes, static_cast<std::size_t>(rate * 12));
}

/// Names of removed targets must not pile up at either side.
TEST_F(report_changes_test, index_of_names_is_rebuilt_when_most_are_unused)
{
    exchange();
    auto const stream = last_.position.stream;
    for (int n = 0; n < 2000; ++n) {
        current_.targets.clear();
        current_.targets[fmt::format("t{}", n)].in_flight = 1;
        exchange_for(1s);
    }
    EXPECT_NE(last_.position.stream, stream);
    ASSERT_TRUE(received_);
    EXPECT_EQ(received_->targets.size(), 1u);
}

TEST_F(report_changes_test, loads_of_services_are_held_between_their_messages)
{
    current_.loads[{"shop", "east"}].slots = 6;
    exchange();
    current_.loads[{"shop", "east"}].slots = 7;
    exchange();
    EXPECT_FALSE(last_.loads);
    EXPECT_EQ((received_->loads[{"shop", "east"}].slots), 6);
    exchange();
    EXPECT_EQ((received_->loads[{"shop", "east"}].slots), 7);
    current_.loads.clear();
    exchange_for(500ms);
    EXPECT_TRUE(received_->loads.empty());
}

/// Random grants and losses: what the receiver holds of an organisation near
/// its limit is never older than the last message that arrived.
TEST_F(report_changes_test, grants_under_losses_are_within_the_tolerance)
{
    constexpr double limit = 50;
    std::minstd_rand random(3);
    sender_.set_rate(300);
    for (int n = 0; n < 2000; ++n) {
        auto const name = fmt::format("o{}", random() % 20);
        set_grants(name, static_cast<double>(random() % 50));
        usage_[name] = {random() % 2 == 0 ? 45.0 : 10.0, limit};
        if (random() % 10 == 0) {
            auto const lost = make();
            if (random() % 2 == 0)
                receiver_.apply(lost, clock_.now());
            sender_.record_failure();
        }
        if (random() % 50 == 0)
            receiver_ = {};
        if (exchange())
            exchange();
        ASSERT_TRUE(received_);
        for (auto const& [it, report] : current_.organisations) {
            bool const is_near = usage_[it].granted > limit / 2;
            auto const tolerance = is_near ? 0.5 : limit / 10;
            ASSERT_LE(std::abs(received_grants(it) - report.granted), tolerance)
                << it << " in round " << n;
        }
    }
}

} // namespace
} // namespace pomelohinge
