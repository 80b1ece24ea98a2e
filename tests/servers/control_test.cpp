#include "servers/control/hub_selector.hpp"
#include "servers/control/sync_server.hpp"
#include "tests/servers/test_charts.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

vm_record make_vm(
    std::string name, std::string data_centre = "east", double cores = 0.2)
{
    vm_record it;
    it.vm = vm_id(name);
    it.data_centre = data_centre_id(std::move(data_centre));
    it.callers_address = name + ":80";
    it.standing = vm_standing::serving;
    it.cores = cores;
    it.incarnation = 1;
    return it;
}

target_record make_target(std::string name, std::uint64_t revision)
{
    target_record it;
    it.id = target_id(std::move(name));
    it.service = service_id("shop");
    it.revision = revision;
    return it;
}

class target_mirror_test : public testing::Test
{
protected:
    void list(std::uint64_t revision, std::vector<target_record> records)
    {
        mirror_.apply({revision, true, std::move(records), {}});
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> all;
        auto const catalogue = mirror_.catalogue();
        for (auto const& it : catalogue.records())
            all.push_back(it.id.text());
        return all;
    }

    target_mirror mirror_;
};

TEST_F(target_mirror_test, older_list_does_not_restore_a_removed_target)
{
    list(5, {make_target("a", 1), make_target("b", 2)});
    mirror_.apply({6, false, {}, {target_id("a")}});
    list(5, {make_target("a", 1), make_target("b", 2)});
    EXPECT_EQ(names(), std::vector<std::string>{"b"});
}

TEST_F(target_mirror_test, newer_list_removes_targets_that_it_lacks)
{
    list(5, {make_target("a", 1), make_target("b", 2)});
    list(9, {make_target("b", 2)});
    EXPECT_EQ(names(), std::vector<std::string>{"b"});
}

TEST_F(target_mirror_test, older_record_does_not_replace_a_newer_one)
{
    auto draining = make_target("a", 7);
    draining.standing = target_standing::draining;
    list(5, {make_target("a", 1)});
    mirror_.apply({8, false, {draining}, {}});
    mirror_.apply({9, false, {make_target("a", 1)}, {}});
    auto const catalogue = mirror_.catalogue();
    EXPECT_EQ(catalogue.find("a")->standing, target_standing::draining);
}

TEST_F(target_mirror_test, changes_after_a_revision_bring_a_copy_up_to_date)
{
    list(5, {make_target("a", 1), make_target("b", 2)});
    target_mirror other;
    other.apply(*mirror_.changes_after({}));
    mirror_.apply({8, false, {make_target("c", 7)}, {target_id("a")}});
    auto const changes = mirror_.changes_after({5});
    ASSERT_TRUE(changes);
    EXPECT_FALSE(changes->whole);
    other.apply(*changes);
    EXPECT_EQ(other.catalogue().records().size(), 2u);
    EXPECT_EQ(other.catalogue().find("a"), nullptr);
    EXPECT_FALSE(mirror_.changes_after(other.position()));
}

TEST_F(target_mirror_test, changes_older_than_stored_removals_give_a_full_list)
{
    list(5, {make_target("a", 1)});
    EXPECT_TRUE(mirror_.changes_after({3})->whole);
}

TEST_F(target_mirror_test, change_that_a_watch_missed_reaches_other_copies)
{
    list(5, {make_target("a", 1), make_target("b", 2)});
    target_mirror other;
    other.apply(*mirror_.changes_after({}));
    // The watch returns the latest change, but not the one before it.
    mirror_.apply({8, false, {make_target("c", 8)}, {}});
    other.apply(*mirror_.changes_after(other.position()));
    EXPECT_FALSE(mirror_.changes_after(other.position()));
    auto draining = make_target("a", 7);
    draining.standing = target_standing::draining;
    list(8, {draining, make_target("c", 8)});
    auto const changes = mirror_.changes_after(other.position());
    ASSERT_TRUE(changes);
    other.apply(*changes);
    auto const catalogue = other.catalogue();
    EXPECT_EQ(catalogue.find("a")->standing, target_standing::draining);
    EXPECT_EQ(catalogue.find("b"), nullptr);
    EXPECT_FALSE(mirror_.changes_after(other.position()));
}

TEST_F(target_mirror_test, list_of_another_vm_does_not_restore_a_removed_target)
{
    list(5, {make_target("a", 1), make_target("b", 2)});
    mirror_.apply({8, false, {}, {target_id("a")}});
    mirror_.apply({8, true, {make_target("a", 1), make_target("b", 2)}, {}, 7});
    EXPECT_EQ(names(), std::vector<std::string>{"b"});
}

class hub_test : public testing::Test
{
protected:
    hub_test()
    {
        for (auto const* it : {"a", "b", "c", "d", "e"})
            members_.push_back({make_vm(it), true, false, 0});
    }

    /// The VM at position `n` of the hub order.
    vm_id vm_at(std::size_t n) const
    {
        return hub_order(members_, data_centre_id("east"))[n]->record.vm;
    }

    fleet_member& member(vm_id const& vm)
    {
        return *std::find_if(members_.begin(), members_.end(),
            [&](auto const& it) { return it.record.vm == vm; });
    }

    std::optional<vm_id> choose_hub(vm_id const& self)
    {
        auto const it =
            selector_.choose(members_, make_vm(self.text().c_str()));
        return it ? std::optional(it->vm) : std::nullopt;
    }

    bool is_probe_due(vm_id const& vm)
    {
        return selector_.candidate(vm).is_probe_due(
            hub_candidate::max_probe_delay, clock_.now());
    }

    manual_clock clock_;
    fleet_members members_;
    chart_list const charts_ = load_all_charts();
    hub_selector selector_{charts_.hub_candidate};
};

TEST_F(hub_test, order_does_not_depend_on_the_order_of_members)
{
    auto const first = vm_at(0);
    std::reverse(members_.begin(), members_.end());
    EXPECT_EQ(vm_at(0), first);
}

TEST_F(hub_test, order_begins_with_vms_with_more_cores)
{
    member(vm_at(4)).record.cores = 0.5;
    EXPECT_EQ(member(vm_at(0)).record.cores, 0.5);
}

TEST_F(hub_test, order_ends_with_leaving_vms)
{
    auto const first = vm_at(0);
    member(first).record.standing = vm_standing::leaving;
    EXPECT_EQ(vm_at(4), first);
}

/// A dead hub that is tried again by a sync costs its followers the timeout.
TEST_F(hub_test, hub_that_does_not_answer_is_skipped_until_it_answers_a_probe)
{
    EXPECT_EQ(choose_hub(vm_at(4)), vm_at(0));
    selector_.note_failure(vm_at(0), clock_.now());
    EXPECT_EQ(choose_hub(vm_at(4)), vm_at(1));
    EXPECT_FALSE(is_probe_due(vm_at(0)));
    clock_.advance(2s);
    EXPECT_EQ(choose_hub(vm_at(4)), vm_at(1));
    EXPECT_TRUE(is_probe_due(vm_at(0)));
    selector_.note_answer(vm_at(0), clock_.now());
    EXPECT_EQ(choose_hub(vm_at(4)), vm_at(0));
}

TEST_F(hub_test, unreachable_vm_that_sends_a_question_is_probed_at_once)
{
    selector_.note_failure(vm_at(0), clock_.now());
    selector_.note_question(vm_at(0), false, clock_.now());
    EXPECT_TRUE(is_probe_due(vm_at(0)));
}

TEST_F(hub_test, hub_is_reached_once_it_answers_until_it_fails)
{
    EXPECT_FALSE(selector_.is_reached(vm_at(0)));
    selector_.note_answer(vm_at(0), clock_.now());
    EXPECT_TRUE(selector_.is_reached(vm_at(0)));
    selector_.note_failure(vm_at(0), clock_.now());
    EXPECT_FALSE(selector_.is_reached(vm_at(0)));
}

/// Others may have been lost with a hub, which their earlier answers hide.
TEST_F(hub_test, answers_from_before_the_failure_of_a_hub_do_not_count)
{
    selector_.note_answer(vm_at(1), clock_.now());
    selector_.note_hub_failure(members_, member(vm_at(0)).record, clock_.now());
    EXPECT_EQ(choose_hub(vm_at(4)), vm_at(1));
    EXPECT_FALSE(selector_.is_reached(vm_at(1)));
}

TEST_F(hub_test, first_that_is_not_unreachable_is_used_however_many_are)
{
    for (std::size_t it = 0; it < 4; ++it)
        selector_.note_failure(vm_at(it), clock_.now());
    EXPECT_EQ(choose_hub(vm_at(4)), std::nullopt);
    EXPECT_EQ(choose_hub(vm_id("other")), vm_at(4));
}

TEST_F(hub_test, vm_that_acts_as_the_hub_of_another_data_centre_is_used)
{
    auto const choose = [&] {
        return selector_
            .choose_remote(members_, data_centre_id("east"), clock_.now())
            ->vm;
    };
    selector_.note_question(vm_at(2), false, clock_.now());
    EXPECT_EQ(choose(), vm_at(0));
    selector_.note_question(vm_at(3), true, clock_.now());
    EXPECT_EQ(choose(), vm_at(3));
    clock_.advance(2s);
    EXPECT_EQ(choose(), vm_at(0));
}

TEST_F(hub_test, first_in_order_is_its_own_hub)
{
    EXPECT_FALSE(choose_hub(vm_at(0)));
}

class entries_test : public hub_test
{
protected:
    std::set<vm_id> choose_entries()
    {
        auto const order = hub_order(members_, data_centre_id("east"));
        auto const chosen = selection_.choose(order, clock_.now());
        for (auto& it : members_)
            it.entry = chosen.contains(it.record.vm);
        return chosen;
    }

    entry_selection selection_;
};

TEST_F(entries_test, entries_without_load_are_two_and_not_the_hub)
{
    auto const chosen = choose_entries();
    EXPECT_EQ(chosen.size(), 2u);
    EXPECT_FALSE(chosen.contains(vm_at(0)));
}

TEST_F(entries_test, entries_grow_with_the_load_and_shrink_later)
{
    choose_entries();
    for (auto& it : members_)
        it.load = it.entry ? 80 : 0;
    auto const capacity = entry_capacity(members_.front().record);
    auto const needed = static_cast<std::size_t>(std::ceil(2 * 80 / capacity));
    EXPECT_EQ(choose_entries().size(), needed);
    for (auto& it : members_)
        it.load = 0;
    EXPECT_EQ(choose_entries().size(), needed);
    clock_.advance(11s);
    EXPECT_EQ(choose_entries().size(), 2u);
}

TEST_F(entries_test, entry_that_is_not_alive_is_replaced_and_others_stay)
{
    auto const before = choose_entries();
    member(*before.begin()).alive = false;
    auto const after = choose_entries();
    EXPECT_EQ(after.size(), 2u);
    EXPECT_FALSE(after.contains(*before.begin()));
    EXPECT_TRUE(after.contains(*before.rbegin()));
}

TEST_F(entries_test, entries_are_vms_with_more_cores)
{
    member(vm_id("a")).record.cores = 0.5;
    member(vm_id("d")).record.cores = 0.5;
    EXPECT_EQ(choose_entries(), (std::set<vm_id>{vm_id("a"), vm_id("d")}));
}

class report_aggregator_test : public testing::Test
{
protected:
    static traffic_report report(
        std::uint32_t in_flight, std::uint32_t faults, double demand)
    {
        traffic_report it;
        it.targets["t"] = target_report{in_flight, 0, faults, 0};
        it.organisations["pub"] = organisation_report{demand, 0};
        return it;
    }

    manual_clock clock_;
    report_aggregator reports_;
};

TEST_F(
    report_aggregator_test, receiver_gets_sum_of_others_and_observations_once)
{
    reports_.add_report("a", false, report(1, 0, 10), clock_.now());
    reports_.add_report("b", false, report(2, 1, 20), clock_.now());
    auto const first = reports_.report_for("a", false);
    EXPECT_EQ(first.targets.at("t"), (target_report{2, 0, 1, 0}));
    EXPECT_DOUBLE_EQ(first.organisations.at("pub").demand, 20);
    auto const second = reports_.report_for("a", false);
    EXPECT_EQ(second.targets.at("t"), (target_report{2, 0, 0, 0}));
    EXPECT_EQ(reports_.report_for("b", false).targets.at("t"),
        (target_report{1, 0, 0, 0}));
}

TEST_F(report_aggregator_test, remote_hubs_get_only_the_reports_of_local_vms)
{
    reports_.add_report("east", true, report(5, 1, 50), clock_.now());
    reports_.add_report("west", true, report(7, 1, 70), clock_.now());
    reports_.add_report("a", false, report(1, 0, 10), clock_.now());
    EXPECT_EQ(reports_.report_for("east", true).targets.at("t"),
        (target_report{1, 0, 0, 0}));
    EXPECT_EQ(reports_.report_for("a", false).targets.at("t").in_flight, 12u);
}

TEST_F(report_aggregator_test, source_without_reports_has_no_requests_in_flight)
{
    reports_.add_report("a", false, report(1, 0, 10), clock_.now());
    clock_.advance(3s);
    reports_.expire(clock_.now());
    EXPECT_TRUE(reports_.report_for("b", false).targets.empty());
}

TEST_F(
    report_aggregator_test, source_that_is_cut_off_keeps_its_share_of_the_rate)
{
    reports_.add_report("a", false, report(1, 0, 10), clock_.now());
    reports_.add_report("west", true, report(1, 0, 30), clock_.now());
    clock_.advance(6s);
    reports_.expire(clock_.now());
    auto const sum = reports_.report_for("b", false);
    EXPECT_DOUBLE_EQ(sum.organisations.at("pub").demand, 40);
    clock_.advance(15s);
    reports_.expire(clock_.now());
    EXPECT_TRUE(reports_.report_for("b", false).organisations.empty());
}

TEST_F(
    report_aggregator_test, grants_of_a_source_without_reports_leave_the_window)
{
    traffic_report it;
    it.organisations["pub"] = organisation_report{10, 40};
    reports_.add_report("a", false, it, clock_.now());
    auto const granted = [&] {
        reports_.expire(clock_.now());
        return reports_.report_for("b", false).organisations.at("pub").granted;
    };
    EXPECT_DOUBLE_EQ(granted(), 40);
    clock_.advance(2500ms);
    EXPECT_DOUBLE_EQ(granted(), 20);
    clock_.advance(3s);
    EXPECT_DOUBLE_EQ(granted(), 0);
}

TEST_F(report_aggregator_test, source_that_restarts_keeps_its_earlier_grants)
{
    traffic_report it;
    it.organisations["pub"] = organisation_report{10, 40};
    reports_.add_report("a", false, it, clock_.now());
    clock_.advance(1s);
    reports_.add_report("a", false, {}, clock_.now());
    auto const granted = [&] {
        auto const sum = reports_.report_for("b", false);
        auto const found = sum.organisations.find("pub");
        return found == sum.organisations.end() ? 0 : found->second.granted;
    };
    EXPECT_DOUBLE_EQ(granted(), 32);
    clock_.advance(5s);
    reports_.add_report("a", false, {}, clock_.now());
    EXPECT_DOUBLE_EQ(granted(), 0);
}

class sync_server_test : public testing::Test
{
protected:
    sync_server_test()
        : self_(make_vm("hub")), members_(self_),
          sync_server_(self_, state_, members_)
    {
    }

    sync_question question(duration long_poll_timeout)
    {
        sync_question it;
        it.from = make_vm("a");
        it.members_source = self_.incarnation;
        it.members_sequence = members_.sequence() + 1;
        it.long_poll_timeout = long_poll_timeout;
        it.liveness_timeout = 1s;
        return it;
    }

    vm_record self_;
    manual_clock clock_;
    fleet_state state_;
    member_table members_;
    sync_server sync_server_;
};

TEST_F(sync_server_test, question_without_updates_is_answered_after_a_change)
{
    int answers = 0;
    auto const count = [&](sync_reply const&) {
        ++answers;
    };
    sync_server_.answer(question(900ms), clock_.now(), count);
    EXPECT_EQ(answers, 0);
    state_.apply_targets({3, true, {make_target("t", 2)}, {}});
    sync_server_.answer_long_polls(clock_.now());
    EXPECT_EQ(answers, 1);
}

TEST_F(sync_server_test, data_centre_whose_hub_changes_is_counted_once)
{
    auto ask = [&](std::string name) {
        auto it = question(0s);
        it.from = make_vm(std::move(name), "west");
        it.relation = sync_relation::hub;
        it.report.organisations["pub"] = organisation_report{30, 60};
        sync_server_.answer(it, clock_.now(), [](sync_reply const&) {});
    };
    ask("w1");
    ask("w2");
    auto const others = sync_server_.exchange_own_report({}, clock_.now());
    EXPECT_DOUBLE_EQ(others.organisations.at("pub").demand, 30);
    EXPECT_DOUBLE_EQ(others.organisations.at("pub").granted, 60);
}

TEST_F(sync_server_test, question_is_answered_when_its_long_poll_times_out)
{
    int answers = 0;
    sync_server_.answer(
        question(900ms), clock_.now(), [&](sync_reply const&) { ++answers; });
    clock_.advance(800ms);
    sync_server_.answer_long_polls(clock_.now());
    EXPECT_EQ(answers, 0);
    clock_.advance(200ms);
    sync_server_.answer_long_polls(clock_.now());
    EXPECT_EQ(answers, 1);
}

/// Guards against a VM without traffic whose data is as old as two reads of its
/// hub, so that it cannot tell a hub that works from one that has failed.
TEST_F(sync_server_test, idle_vm_is_answered_after_each_read)
{
    int answers = 0;
    auto ask = [&] {
        auto it = question(900ms);
        it.is_idle = true;
        sync_server_.answer(
            it, clock_.now(), [&](sync_reply const&) { ++answers; });
    };
    state_.confirm(0, clock_.now());
    ask();
    EXPECT_EQ(answers, 1);
    ask();
    clock_.advance(800ms);
    sync_server_.answer_long_polls(clock_.now());
    EXPECT_EQ(answers, 1);
    state_.confirm(0, clock_.now());
    sync_server_.answer_long_polls(clock_.now());
    EXPECT_EQ(answers, 2);
}

TEST_F(sync_server_test, idle_vm_that_asks_after_a_read_is_answered_at_once)
{
    int answers = 0;
    auto ask = [&] {
        auto it = question(900ms);
        it.is_idle = true;
        sync_server_.answer(
            it, clock_.now(), [&](sync_reply const&) { ++answers; });
    };
    state_.confirm(0, clock_.now());
    ask();
    clock_.advance(800ms);
    state_.confirm(0, clock_.now());
    ask();
    EXPECT_EQ(answers, 2);
    // A second estimate of the time of the same read is no other read.
    state_.confirm(0, clock_.now() + 5ms);
    ask();
    EXPECT_EQ(answers, 2);
}

class fleet_state_test : public testing::Test
{
protected:
    void apply(std::uint64_t version)
    {
        state_.set_configuration(
            {version, std::make_shared<std::string>("x")}, configuration());
    }

    manual_clock clock_;
    fleet_state state_;
};

TEST_F(fleet_state_test, read_of_another_version_does_not_confirm_this_one)
{
    apply(3);
    state_.confirm(4, clock_.now());
    EXPECT_EQ(state_.read_age(clock_.now()), duration::max());
    state_.confirm(3, clock_.now());
    EXPECT_EQ(state_.read_age(clock_.now()), duration::zero());
}

TEST_F(fleet_state_test, older_closures_are_ignored)
{
    state_.apply_closures({5, {data_centre_id("east")}});
    EXPECT_FALSE(state_.apply_closures({4, {}}));
    EXPECT_EQ(state_.closures().closed.size(), 1u);
}

} // namespace
} // namespace pomelohinge
