#include "servers/rollouts/rollout_table.hpp"

#include "servers/rollouts/evidence_log.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// Targets of a service with the versions v1 and v2, and a rollout to v2.
class rollout_table_test : public testing::Test
{
protected:
    rollout_table_test()
    {
        add("a", "v1", 5, 1);
        add("b", "v2", 8, 2);
        add("c", "v2", 8, 3);
        decisions_.position = {10, 1, 1};
        decisions_.decided_at = clock_.now();
    }

    void add(std::string id, std::string version, std::uint64_t revision,
        std::uint64_t incarnation)
    {
        target_record it;
        it.id = target_id(std::move(id));
        it.service = service_id("shop");
        it.version = std::move(version);
        it.revision = revision;
        it.incarnation = incarnation;
        records_.push_back(std::move(it));
    }

    void decide(rollout_state state, std::string version = "v2")
    {
        rollout_decision it;
        it.service = service_id("shop");
        it.version = std::move(version);
        it.state = state;
        if (state == rollout_state::canary) {
            it.share = 0.05;
            it.canaries = {target_id("b")};
        }
        decisions_.items = {it};
        ++decisions_.position.sequence;
        decisions_.decided_at = clock_.now();
    }

    rollout_table make_table()
    {
        return admission_.make_table(
            target_catalogue(records_, 20), decisions_, clock_.now());
    }

    /// The roles of the targets in the order of their names.
    std::vector<rollout_role> roles()
    {
        auto const table = make_table();
        std::vector<rollout_role> all;
        for (auto const& it : records_)
            all.push_back(table.role_of(it.id));
        return all;
    }

    static constexpr auto open = rollout_role::open;
    static constexpr auto canary = rollout_role::canary;
    static constexpr auto withheld = rollout_role::withheld;

    manual_clock clock_;
    std::vector<target_record> records_;
    rollout_decisions decisions_;
    rollout_admission admission_;
};

using role_list = std::vector<rollout_role>;

TEST_F(rollout_table_test, versions_without_a_rollout_are_open)
{
    EXPECT_EQ(roles(), (role_list{open, open, open}));
}

TEST_F(rollout_table_test, ordered_version_gets_nothing)
{
    decide(rollout_state::ordered);
    EXPECT_EQ(roles(), (role_list{open, withheld, withheld}));
}

TEST_F(rollout_table_test, only_named_targets_are_on_trial)
{
    decide(rollout_state::canary);
    EXPECT_EQ(roles(), (role_list{open, canary, withheld}));
}

TEST_F(rollout_table_test, old_version_gets_nothing_after_the_switch)
{
    decide(rollout_state::switching);
    EXPECT_EQ(roles(), (role_list{withheld, open, open}));
    decide(rollout_state::succeeded);
    EXPECT_EQ(roles(), (role_list{withheld, open, open}));
}

TEST_F(rollout_table_test, rejected_version_gets_nothing)
{
    decide(rollout_state::rolling_back);
    EXPECT_EQ(roles(), (role_list{open, withheld, withheld}));
    decide(rollout_state::rolled_back);
    EXPECT_EQ(roles(), (role_list{open, withheld, withheld}));
}

/// A VM that hears nothing of the deciding one went on with the trial.
TEST_F(rollout_table_test, trial_ends_when_its_decision_is_not_renewed)
{
    decide(rollout_state::canary);
    clock_.advance(max_decision_age);
    EXPECT_EQ(roles(), (role_list{open, withheld, withheld}));
    EXPECT_EQ(make_table().find(service_id("shop"))->share, 0);
}

TEST_F(rollout_table_test, both_versions_serve_when_a_switch_is_not_renewed)
{
    decide(rollout_state::switching);
    roles();
    clock_.advance(max_decision_age);
    EXPECT_EQ(roles(), (role_list{open, open, open}));
}

/// The targets of a version can be listed before its order.
TEST_F(rollout_table_test, version_newer_than_the_orders_gets_nothing)
{
    roles();
    add("d", "v3", 12, 4);
    EXPECT_EQ(roles().back(), withheld);
    decisions_.position.revision = 12;
    EXPECT_EQ(roles().back(), open);
}

TEST_F(rollout_table_test, target_of_a_known_version_that_changes_stays_open)
{
    roles();
    records_[0].revision = 15;
    EXPECT_EQ(roles().front(), open);
}

TEST_F(rollout_table_test, without_a_list_of_orders_the_oldest_version_serves)
{
    decisions_ = {};
    EXPECT_EQ(roles(), (role_list{open, withheld, withheld}));
}

/// The order may be missing in an older copy of the store, or deleted.
TEST_F(rollout_table_test, version_on_trial_gets_nothing_without_its_order)
{
    decide(rollout_state::canary);
    roles();
    decisions_.items.clear();
    decisions_.position.revision = 30;
    EXPECT_EQ(roles(), (role_list{open, withheld, withheld}));
}

TEST_F(rollout_table_test, version_that_was_rolled_back_stays_so_in_the_next)
{
    decide(rollout_state::rolled_back);
    roles();
    add("d", "v3", 9, 4);
    decide(rollout_state::canary, "v3");
    EXPECT_EQ(roles(), (role_list{open, withheld, withheld, withheld}));
}

/// An entry of a rollout long ago kept a service without targets.
TEST_F(rollout_table_test, later_version_serves_if_the_succeeded_one_is_gone)
{
    records_.clear();
    add("d", "v3", 15, 4);
    decide(rollout_state::succeeded);
    EXPECT_EQ(roles(), (role_list{open}));
}

TEST_F(rollout_table_test, old_version_stays_out_when_the_order_is_deleted)
{
    decide(rollout_state::canary);
    roles();
    decide(rollout_state::succeeded);
    roles();
    decisions_.items.clear();
    EXPECT_EQ(roles(), (role_list{withheld, open, open}));
}

/// Evidence of attempts at the targets above.
class evidence_log_test : public rollout_table_test
{
protected:
    evidence_log_test()
    {
        decide(rollout_state::canary);
        decisions_.items[0].slow_limits["r"] = 500ms;
        log_.adopt(std::make_shared<rollout_table>(make_table()));
    }

    evidence_counts counted(std::string const& target)
    {
        return log_.take()[{"shop", "r", target}];
    }

    route_id const route_{"r"};
    evidence_log log_;
};

TEST_F(evidence_log_test, outcomes_of_the_new_version_count_by_target)
{
    log_.record(records_[1], route_, evidence_kind::answered, 100ms);
    log_.record(records_[1], route_, evidence_kind::answered, 600ms);
    log_.record(records_[1], route_, evidence_kind::failed, 100ms);
    log_.record(records_[1], route_, evidence_kind::none, 100ms);
    auto const counts = counted("b");
    EXPECT_EQ(counts.good, 1u);
    EXPECT_EQ(counts.slow, 1u);
    EXPECT_EQ(counts.failed, 1u);
}

TEST_F(evidence_log_test, cancelled_attempt_counts_only_if_it_was_slow)
{
    log_.record(records_[1], route_, evidence_kind::cancelled, 100ms);
    log_.record(records_[1], route_, evidence_kind::cancelled, 600ms);
    EXPECT_EQ(counted("b").total(), 1u);
}

TEST_F(evidence_log_test, answers_of_the_old_version_give_its_latencies)
{
    for (int n = 0; n < 100; ++n)
        log_.record(records_[0], route_, evidence_kind::answered, 100ms);
    auto const median = counted("").latencies.quantile(0.5);
    EXPECT_GT(median, 80ms);
    EXPECT_LT(median, 130ms);
}

TEST_F(evidence_log_test, service_without_a_rollout_gives_no_evidence)
{
    log_.adopt(nullptr);
    log_.record(records_[0], route_, evidence_kind::answered, 100ms);
    EXPECT_TRUE(log_.take().empty());
}

/// Decisions of two VMs on the same rollout.
class rollout_merge_test : public testing::Test
{
protected:
    static constexpr std::uint64_t first = 1;
    static constexpr std::uint64_t second = 2;

    rollout_decisions make(std::uint64_t decider, std::uint64_t sequence,
        rollout_state state, double share = 0)
    {
        rollout_decisions made;
        made.position = {10, decider, sequence};
        made.decided_at = clock_.now();
        rollout_decision item;
        item.service = service_id("shop");
        item.version = "v2";
        item.state = state;
        item.share = share;
        made.items = {item};
        return made;
    }

    bool merge(rollout_decisions incoming)
    {
        return merge_decisions(held_, std::move(incoming), clock_.now());
    }

    rollout_decision const& held() const { return held_.items.at(0); }

    manual_clock clock_;
    rollout_decisions held_;
};

TEST_F(rollout_merge_test, later_decision_of_the_same_vm_replaces_the_former)
{
    merge(make(first, 1, rollout_state::canary, 0.02));
    merge(make(first, 2, rollout_state::canary, 0.06));
    EXPECT_EQ(held().share, 0.06);
    EXPECT_FALSE(merge(make(first, 1, rollout_state::canary, 0.02)));
}

TEST_F(rollout_merge_test, smaller_share_of_two_deciders_applies)
{
    merge(make(first, 1, rollout_state::canary, 0.02));
    merge(make(second, 9, rollout_state::canary, 0.06));
    EXPECT_EQ(held().share, 0.02);
}

TEST_F(rollout_merge_test, rejection_of_one_of_two_deciders_applies)
{
    merge(make(first, 1, rollout_state::rolling_back));
    merge(make(second, 9, rollout_state::switching, 1));
    EXPECT_EQ(held().state, rollout_state::rolling_back);
    EXPECT_EQ(held().share, 0);
}

TEST_F(rollout_merge_test, decider_that_is_gone_does_not_count)
{
    merge(make(first, 1, rollout_state::canary, 0.02));
    clock_.advance(max_decision_age);
    merge(make(second, 1, rollout_state::canary, 0.06));
    EXPECT_EQ(held().share, 0.06);
}

TEST_F(rollout_merge_test, final_state_is_never_left)
{
    merge(make(first, 1, rollout_state::succeeded));
    clock_.advance(10s);
    merge(make(second, 1, rollout_state::rolled_back));
    EXPECT_EQ(held().state, rollout_state::succeeded);
    merge(make(first, 2, rollout_state::canary, 0.06));
    EXPECT_EQ(held().state, rollout_state::succeeded);
}

/// A reply that is never accepted as newer is asked for without end.
TEST_F(rollout_merge_test, nothing_is_newer_after_a_merge)
{
    merge(make(first, 5, rollout_state::canary, 0.02));
    auto other = make(second, 1, rollout_state::canary, 0.06);
    other.position.revision = 8;
    EXPECT_TRUE(has_newer(other, held_.position, clock_.now()));
    merge(other);
    EXPECT_FALSE(has_newer(other, held_.position, clock_.now()));
}

} // namespace
} // namespace pomelohinge
