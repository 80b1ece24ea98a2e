#include "servers/control/member_list_position.hpp"
#include "servers/control/sync_server.hpp"
#include "servers/limits/organisation_limits.hpp"

#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

vm_record make_vm(std::string name, std::string data_centre)
{
    vm_record it;
    it.vm = vm_id(std::move(name));
    it.data_centre = data_centre_id(std::move(data_centre));
    it.standing = vm_standing::serving;
    it.incarnation = std::hash<std::string>()(it.vm.text());
    return it;
}

/// The hub of a data centre, its entries and what it holds of others.
struct modelled_hub
{
    explicit modelled_hub(vm_record record, double budget)
        : self(std::move(record)), members(self), server(self, state, members)
    {
        server.set_remote_budget(budget);
        server.expect_other_data_centres(1);
    }

    vm_record self;
    fleet_state state;
    member_table members;
    sync_server server;
    std::map<data_centre_id, member_list_position> positions;
};

/// What happens to an exchange.
enum class exchange_fate {
    answered,
    question_lost,
    reply_lost,
};

/// Hubs of two data centres with a budget for what they send to each other.
class remote_reports_test : public testing::Test
{
protected:
    static constexpr double budget = 4000;

    remote_reports_test() { start(budget, budget); }

    void start(double east_budget, double west_budget)
    {
        east_.emplace(make_vm("e1", "east"), east_budget);
        west_.emplace(make_vm("w1", "west"), west_budget);
    }

    /// Sends a question with the report of `asking`. Returns the reply.
    std::optional<sync_reply> ask(modelled_hub& asking, modelled_hub& asked,
        exchange_fate fate = exchange_fate::answered)
    {
        auto const& data_centre = asked.self.data_centre;
        sync_question question;
        question.from = asking.self;
        question.relation = sync_relation::hub;
        question.liveness_timeout = 2s;
        auto& position = asking.positions[data_centre];
        position.write_to(question);
        asking.server.write_remote_report(
            question, data_centre, asked.self.vm, clock_.now());
        last_question_ = question;
        sync_reply reply;
        if (fate != exchange_fate::question_lost)
            asked.server.answer(question, clock_.now(),
                [&](sync_reply it) { reply = std::move(it); });
        if (fate == exchange_fate::reply_lost)
            reply = {};
        if (reply.members)
            position.advance(reply);
        if (asking.server.record_remote_reply(data_centre, reply, clock_.now()))
            return ask(asking, asked);
        return reply.reached ? std::optional(std::move(reply)) : std::nullopt;
    }

    void exchange(exchange_fate fate = exchange_fate::answered)
    {
        clock_.advance(250ms);
        ask(*east_, *west_, fate);
        ask(*west_, *east_, fate);
    }

    /// Reports the grants of an entry to its hub.
    void report(modelled_hub& hub, double granted)
    {
        traffic_report it;
        auto& organisation = it.organisations["pub"];
        organisation.demand = granted / 5;
        organisation.granted = organisation.grants.within_window = granted;
        it.entries = 1;
        hub.server.exchange_own_report(std::move(it), clock_.now());
    }

    /// Sets a rate of which the grants in the tests are a part.
    void set_rate(rate_object rate)
    {
        auto const source = configuration().with(
            {{object_kind::rate, "pub", any_object(rate)}});
        for (auto* it : {&*east_, &*west_})
            it->state.set_configuration(
                {1, std::make_shared<std::string>("1")}, source);
    }

    /// What the entries of a hub are told of others.
    traffic_report others(modelled_hub& hub)
    {
        return hub.server.exchange_own_report({}, clock_.now());
    }

    manual_clock clock_;
    std::optional<modelled_hub> east_;
    std::optional<modelled_hub> west_;
    sync_question last_question_;
};

TEST_F(remote_reports_test, report_arrives_by_questions_alone)
{
    report(*east_, 20);
    exchange();
    exchange();
    auto const reply = ask(*west_, *east_);
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->report_omitted);
    EXPECT_TRUE(last_question_.report.organisations.empty());
    EXPECT_EQ(others(*west_).organisations.at("pub").granted, 20);
}

TEST_F(remote_reports_test, hub_without_budget_sends_whole_reports)
{
    start(0, budget);
    report(*east_, 20);
    report(*west_, 7);
    exchange();
    ask(*east_, *west_);
    EXPECT_FALSE(last_question_.changes);
    EXPECT_EQ(others(*east_).organisations.at("pub").granted, 7);
    EXPECT_EQ(others(*west_).organisations.at("pub").granted, 20);
}

/// A hub of an earlier version ignores the changes and would take the missing
/// report for one without grants.
TEST_F(remote_reports_test, hub_that_confirms_no_changes_gets_whole_reports)
{
    report(*east_, 20);
    for (int n = 0; n < 3; ++n) {
        sync_question question;
        question.relation = sync_relation::hub;
        east_->server.write_remote_report(
            question, data_centre_id("west"), vm_id("w1"), clock_.now());
        EXPECT_EQ(question.report.organisations.at("pub").granted, 20);
        sync_reply reply;
        reply.reached = true;
        EXPECT_FALSE(east_->server.record_remote_reply(
            data_centre_id("west"), reply, clock_.now()));
        clock_.advance(250ms);
    }
}

TEST_F(remote_reports_test, report_is_in_replies_while_own_questions_fail)
{
    exchange();
    exchange();
    report(*east_, 20);
    for (int n = 0; n < 4; ++n) {
        clock_.advance(250ms);
        ask(*east_, *west_, exchange_fate::question_lost);
        ask(*west_, *east_);
    }
    EXPECT_EQ(others(*west_).organisations.at("pub").granted, 20);
}

TEST_F(remote_reports_test, replaced_hub_gets_the_complete_report_at_once)
{
    report(*east_, 20);
    exchange();
    exchange();
    west_.emplace(make_vm("w2", "west"), budget);
    ask(*east_, *west_);
    EXPECT_EQ(others(*west_).organisations.at("pub").granted, 20);
}

/// The restarted hub has the name of the one before, so that the sender cannot
/// know.
TEST_F(remote_reports_test, restarted_hub_gets_the_complete_report_at_once)
{
    report(*east_, 20);
    exchange();
    exchange();
    west_.emplace(make_vm("w1", "west"), budget);
    ask(*east_, *west_);
    EXPECT_EQ(others(*west_).organisations.at("pub").granted, 20);
}

TEST_F(remote_reports_test, reports_under_losses_are_the_latest_that_arrived)
{
    set_rate({10, 10});
    std::minstd_rand random(5);
    for (int n = 1; n < 400; ++n) {
        report(*east_, n % 60);
        clock_.advance(250ms);
        auto const fate = static_cast<exchange_fate>(random() % 3);
        ask(*east_, *west_, fate);
        if (fate == exchange_fate::question_lost)
            continue;
        EXPECT_NEAR(
            others(*west_).organisations["pub"].grants.within_window, n % 60, 6)
            << n;
    }
}

TEST_F(remote_reports_test, members_are_sent_once_and_then_their_changes)
{
    for (auto const* it : {"e2", "e3", "e4"})
        east_->members.update_from_vm(make_vm(it, "east"), 0, 1h, clock_.now());
    auto const first = ask(*west_, *east_);
    ASSERT_TRUE(first && first->members);
    EXPECT_FALSE(first->members_are_changes);
    EXPECT_EQ(first->members->size(), 4u);
    EXPECT_FALSE(ask(*west_, *east_)->members);
    east_->members.set_entries(data_centre_id("east"), {vm_id("e3")});
    auto const changed = ask(*west_, *east_);
    ASSERT_TRUE(changed->members);
    EXPECT_TRUE(changed->members_are_changes);
    ASSERT_EQ(changed->members->size(), 1u);
    EXPECT_TRUE(changed->members->front().entry);
    EXPECT_FALSE(ask(*west_, *east_)->members);
}

/// A change of a data centre made the others send their lists to each other.
TEST_F(remote_reports_test, members_of_a_third_data_centre_are_not_sent)
{
    ask(*west_, *east_);
    east_->members.update_from_vm(make_vm("n1", "north"), 0, 1h, clock_.now());
    EXPECT_FALSE(ask(*west_, *east_)->members);
}

TEST_F(remote_reports_test, removed_member_makes_the_list_complete)
{
    east_->members.update_from_vm(make_vm("e2", "east"), 0, 1h, clock_.now());
    ask(*west_, *east_);
    ask(*west_, *east_);
    east_->members.remove(vm_id("e2"));
    auto const reply = ask(*west_, *east_);
    ASSERT_TRUE(reply->members);
    EXPECT_FALSE(reply->members_are_changes);
}

/// Entries of two data centres that divide the rate of one organisation.
class remote_rate_test : public remote_reports_test
{
protected:
    static constexpr std::size_t entries_per_hub = 3;
    static constexpr duration step = 5ms;

    remote_rate_test()
    {
        set_rate(rate_);
        for (auto& it : entries_)
            it.set_listed_vms(entries_.size(), entries_.size());
    }

    /// Callers send `demands` requests per second to the entries of each data
    /// centre; a part of the exchanges is lost.
    void simulate(duration time, std::array<double, 2> demands)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        auto const end = clock_.now() + time;
        while (clock_.now() < end) {
            clock_.advance(step);
            since_start_ += step;
            if (since_start_ % 200ms == duration::zero())
                report_all();
            if (since_start_ % 250ms == duration::zero())
                exchange_with_losses(draw(random_));
            for (std::size_t it = 0; it < entries_.size(); ++it)
                if (draw(random_) < demands[it / entries_per_hub] /
                        entries_per_hub * to_seconds(step))
                    send_request(entries_[it]);
        }
    }

    void exchange_with_losses(double drawn)
    {
        auto const fate = drawn < losses_ / 2 ? exchange_fate::question_lost
            : drawn < losses_                 ? exchange_fate::reply_lost
                                              : exchange_fate::answered;
        ask(*east_, *west_, fate);
        ask(*west_, *east_);
    }

    void report_all()
    {
        for (std::size_t n = 0; n < entries_.size(); ++n) {
            auto& hub = n < entries_per_hub ? *east_ : *west_;
            sync_question question;
            question.from =
                make_vm(fmt::format("entry{}", n), hub.self.data_centre.text());
            question.liveness_timeout = 1s;
            question.report.organisations =
                entries_[n].make_report(clock_.now());
            question.report.entries = 1;
            hub.server.answer(
                question, clock_.now(), [&](sync_reply const& reply) {
                    entries_[n].apply_report(reply.others, clock_.now());
                });
        }
        east_->server.expire(clock_.now());
        west_->server.expire(clock_.now());
    }

    void send_request(organisation_limits& entry)
    {
        ++requests_;
        if (!entry.charge("pub", rate_, clock_.now()).granted)
            return;
        ++granted_;
        grants_.push_back(clock_.now());
        while (clock_.now() - grants_.front() > limit_window)
            grants_.pop_front();
        most_in_window_ = std::max(most_in_window_, grants_.size());
    }

    /// As in limits_test.
    double max_grants() const
    {
        constexpr double excess = 0.1;
        constexpr double slack = 20;
        return (rate_.requests_per_second * to_seconds(limit_window) +
                   static_cast<double>(rate_.burst)) *
            (1 + excess) +
            slack;
    }

    rate_object rate_{40, 40};
    std::array<organisation_limits, 2 * entries_per_hub> entries_;
    std::mt19937_64 random_{7};
    double losses_ = 0;
    duration since_start_{};
    std::deque<time_point> grants_;
    std::size_t most_in_window_ = 0;
    std::size_t requests_ = 0;
    std::size_t granted_ = 0;
};

TEST_F(remote_rate_test, demand_above_the_rate_gets_grants_within_the_bound)
{
    simulate(60s, {150, 150});
    EXPECT_LE(static_cast<double>(most_in_window_), max_grants());
    EXPECT_GE(static_cast<double>(granted_), 0.85 * 60 * 40);
}

TEST_F(remote_rate_test, demand_that_moves_gets_grants_within_the_bound)
{
    for (int round = 0; round < 20; ++round)
        simulate(3s,
            round % 2 == 0 ? std::array{150.0, 0.0} : std::array{0.0, 150.0});
    EXPECT_LE(static_cast<double>(most_in_window_), max_grants());
}

TEST_F(remote_rate_test, lost_exchanges_keep_grants_within_the_bound)
{
    losses_ = 0.3;
    for (int round = 0; round < 20; ++round)
        simulate(3s,
            round % 2 == 0 ? std::array{150.0, 20.0} : std::array{20.0, 150.0});
    EXPECT_LE(static_cast<double>(most_in_window_), max_grants());
}

TEST_F(remote_rate_test, demand_below_the_rate_is_rarely_refused)
{
    simulate(5s, {15, 10});
    requests_ = granted_ = 0;
    simulate(60s, {15, 10});
    EXPECT_GE(
        static_cast<double>(granted_), 0.98 * static_cast<double>(requests_));
}

} // namespace
} // namespace pomelohinge
