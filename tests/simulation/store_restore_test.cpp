#include "tests/servers/test_charts.hpp"
#include "tests/simulation/fake_vm.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

/// A fleet without callers whose store is restored from a copy that is 3 s old.
/// The parameter is the time from a settled fleet to the copy in units of
/// 100 ms, so that the restore falls at each moment between two reads.
///
/// Guards against a restored store that brings back what was in force before.
class store_restore_test : public testing::TestWithParam<int>
{
protected:
    store_restore_test()
        : charts_(load_all_charts()), store_(simulator_),
          checker_(invariant_bounds{}), context_{simulator_, store_, checker_,
                                            charts_, {}, {}, {}}
    {
        store_.set_era(5);
        store_.set_configuration(configuration());
        for (auto const* it : {"kept", "drained", "removed"})
            put_target(it, target_standing::serving);
        for (int n = 0; n < 12; ++n)
            add_vm(n % 2 == 0 ? "east" : "west", "vm-" + std::to_string(n));
        run_for(6s + GetParam() * 100ms);
        store_.take_copy();
        run_for(500ms);
        change_store();
        run_for(2500ms);
    }

    void put_target(std::string const& name, target_standing standing)
    {
        target_record record;
        record.id = target_id(name);
        record.incarnation = 1;
        record.service = service_id("shop");
        record.data_centre = data_centre_id("east");
        record.address = name;
        record.standing = standing;
        store_.put_target(record);
    }

    /// What the restore loses: a configuration, a closed data centre, and the
    /// entries of targets.
    void change_store()
    {
        store_.set_configuration(configuration());
        store_.set_closed("west", true);
        put_target("drained", target_standing::draining);
        put_target("added", target_standing::serving);
        store_.remove_target(target_id("removed"));
    }

    void add_vm(std::string const& data_centre, std::string const& name)
    {
        vm_record record;
        record.vm = vm_id(name);
        record.data_centre = data_centre_id(data_centre);
        record.callers_address = name + ":80";
        record.peers_address = name + ":90";
        record.cores = 0.2;
        record.incarnation = vms_.size() + 1;
        vms_[name] = std::make_unique<fake_vm>(context_, record);
        vms_[name]->start();
    }

    void run_for(duration span)
    {
        simulator_.run_until(simulator_.now() + span);
    }

    /// What is in force at a VM.
    static std::string text_of(fake_vm& vm)
    {
        auto const& policy = vm.current_policy();
        auto text = std::to_string(policy->index->version);
        for (auto const& it : policy->targets->records())
            text += " " + it.id.text() +
                (it.standing == target_standing::draining ? "(d)" : "");
        for (auto const& it : policy->closed)
            text += " -" + it.text();
        return text;
    }

    std::set<std::string> texts()
    {
        std::set<std::string> texts;
        for (auto const& [name, it] : vms_)
            texts.insert(text_of(*it));
        return texts;
    }

    /// Everything that was in force at any VM at some moment of `span`.
    std::set<std::string> texts_during(duration span)
    {
        std::set<std::string> seen;
        auto const end = simulator_.now() + span;
        while (simulator_.now() < end) {
            run_for(10ms);
            seen.merge(texts());
        }
        return seen;
    }

    static inline std::string const latest = "2 added drained(d) kept -west";

    chart_list charts_;
    event_simulator simulator_{1};
    fake_store store_;
    invariant_checker checker_;
    fleet_context context_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
};

TEST_P(store_restore_test, what_is_written_again_stays_in_force_throughout)
{
    ASSERT_EQ(texts(), std::set<std::string>{latest});
    store_.restore();
    auto seen = texts_during(1900ms);
    change_store();
    seen.merge(texts_during(6s));
    EXPECT_EQ(seen, std::set<std::string>{latest});
}

TEST_P(store_restore_test, what_is_not_written_again_ends_when_the_era_settles)
{
    store_.restore();
    EXPECT_EQ(texts_during(1900ms), std::set<std::string>{latest});
    run_for(5s);
    // The configuration keeps its highest version.
    EXPECT_EQ(texts(), std::set<std::string>{"2 drained kept removed"});
}

TEST_P(store_restore_test, store_that_is_away_for_a_moment_reverts_nothing)
{
    std::set<std::string> all;
    for (auto const& [name, it] : vms_)
        all.insert(name);
    store_.set_unavailable_for(all);
    auto seen = texts_during(1s);
    store_.restore();
    store_.set_unavailable_for({});
    seen.merge(texts_during(1900ms));
    change_store();
    seen.merge(texts_during(6s));
    EXPECT_EQ(seen, std::set<std::string>{latest});
}

TEST_P(store_restore_test, changes_after_the_restore_arrive_in_time)
{
    store_.restore();
    run_for(500ms);
    change_store();
    run_for(4500ms);
    store_.set_closed("west", false);
    store_.remove_target(target_id("added"));
    run_for(2500ms);
    EXPECT_EQ(texts(), std::set<std::string>{"2 drained(d) kept"});
}

TEST_P(store_restore_test, second_restore_is_handled_like_the_first)
{
    store_.restore();
    run_for(1s);
    change_store();
    run_for(1s);
    store_.restore();
    auto seen = texts_during(1900ms);
    change_store();
    seen.merge(texts_during(5s));
    EXPECT_EQ(seen, std::set<std::string>{latest});
}

TEST_P(store_restore_test, registrations_that_are_lost_are_written_again)
{
    add_vm("east", "vm-12");
    run_for(3s);
    ASSERT_TRUE(store_.vms().contains(vm_id("vm-12")));
    store_.restore();
    EXPECT_FALSE(store_.vms().contains(vm_id("vm-12")));
    run_for(6s);
    EXPECT_TRUE(store_.vms().contains(vm_id("vm-12")));
}

TEST_P(store_restore_test, vm_that_starts_after_the_restore_reverts_no_other)
{
    store_.restore();
    add_vm("east", "new-1");
    add_vm("west", "new-2");
    run_for(10ms);
    std::set<std::string> seen;
    for (int n = 0; n < 180; ++n) {
        run_for(10ms);
        for (auto const& [name, it] : vms_)
            if (!name.starts_with("new"))
                seen.insert(text_of(*it));
    }
    EXPECT_EQ(seen, std::set<std::string>{latest});
}

INSTANTIATE_TEST_SUITE_P(moments, store_restore_test, testing::Range(0, 10));

} // namespace
} // namespace pomelohinge::simulation
