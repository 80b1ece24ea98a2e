#include "servers/ownership/freshness.hpp"
#include "servers/ownership/ownership.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class ownership_test : public testing::Test
{
protected:
    ownership_test() : self_(vm_id("vm-0"))
    {
        for (int it = 0; it < 5; ++it)
            view_ = with_vm(view_, record(it));
    }

    static vm_record record(int n)
    {
        auto const name = "vm-" + std::to_string(n);
        return {vm_id(name), data_centre_id("dc"), name, name, 1,
            vm_standing::serving};
    }

    fleet_view fleet() const
    {
        fleet_view all;
        all.adopt(view_);
        return all;
    }

    /// A key that `self` does not own now but would without `owner`.
    std::string key_that_moves_from(int owner)
    {
        rendezvous const before(fleet());
        auto without = fleet();
        without.adopt(without_vm(view_, record(owner)));
        rendezvous const after(without);
        for (int it = 0;; ++it) {
            auto const key = "key-" + std::to_string(it);
            if (before.owner(owned_kind::service, key)->vm ==
                    record(owner).vm &&
                after.owner(owned_kind::service, key)->vm == self_.self())
                return key;
        }
    }

    void confirm_reads()
    {
        self_.confirm(
            [](std::size_t) { return duration::zero(); }, clock_.now());
    }

    /// Adopts the first view and lets its waiting time pass.
    void settle()
    {
        self_.adopt(fleet(), clock_.now());
        confirm_reads();
        clock_.advance(freshness_lease + takeover_margin);
    }

    bool may_act(std::string const& key)
    {
        return self_.may_act(
            {owned_kind::service, key, nullptr, 1}, clock_.now());
    }

    data_centre_view view_{data_centre_id("dc"), 0, {}};
    ownership self_;
    manual_clock clock_;
};

TEST_F(ownership_test, rank_without_one_vm_moves_only_its_keys)
{
    rendezvous const before(fleet());
    auto smaller = fleet();
    smaller.adopt(without_vm(view_, record(3)));
    rendezvous const after(smaller);
    for (int it = 0; it < 2000; ++it) {
        auto const key = std::to_string(it);
        auto const* const old = before.owner(owned_kind::target, key);
        if (old->vm != record(3).vm) {
            EXPECT_EQ(after.owner(owned_kind::target, key)->vm, old->vm);
        }
    }
}

TEST_F(ownership_test, rank_over_many_keys_is_even)
{
    rendezvous const ranks(fleet());
    std::map<vm_id, int> counts;
    for (int it = 0; it < 10000; ++it)
        ++counts[ranks.owner(owned_kind::target, std::to_string(it))->vm];
    for (auto const& [vm, n] : counts)
        EXPECT_NEAR(n, 2000, 250) << vm.text();
}

TEST_F(ownership_test, may_act_after_first_view_waits_for_a_lease)
{
    self_.adopt(fleet(), clock_.now());
    std::string own;
    for (int it = 0; own.empty(); ++it)
        if (self_.is_owner({owned_kind::service, std::to_string(it)}))
            own = std::to_string(it);
    confirm_reads();
    clock_.advance(freshness_lease);
    EXPECT_FALSE(may_act(own));
    clock_.advance(takeover_margin);
    EXPECT_TRUE(may_act(own));
}

TEST_F(ownership_test, may_act_for_key_of_dead_owner_waits_for_its_lease)
{
    auto const key = key_that_moves_from(2);
    settle();
    EXPECT_FALSE(may_act(key));
    view_ = without_vm(view_, record(2));
    self_.adopt(fleet(), clock_.now());
    confirm_reads();
    clock_.advance(freshness_lease);
    EXPECT_FALSE(may_act(key));
    clock_.advance(takeover_margin);
    EXPECT_TRUE(may_act(key));
}

TEST_F(ownership_test, may_act_without_reads_of_the_store_never_begins)
{
    auto const key = key_that_moves_from(2);
    settle();
    view_ = without_vm(view_, record(2));
    self_.adopt(fleet(), clock_.now());
    self_.confirm([](std::size_t) { return duration::max(); }, clock_.now());
    clock_.advance(1h);
    EXPECT_FALSE(may_act(key));
}

TEST_F(ownership_test, may_act_after_release_begins_at_once)
{
    auto const key = key_that_moves_from(2);
    settle();
    auto leaving = record(2);
    leaving.standing = vm_standing::leaving;
    view_ = with_vm(view_, leaving);
    self_.adopt(fleet(), clock_.now());
    EXPECT_TRUE(may_act(key));
}

TEST_F(ownership_test, may_act_after_skipped_view_ignores_releases)
{
    auto const key = key_that_moves_from(2);
    settle();
    auto leaving = record(2);
    leaving.standing = vm_standing::leaving;
    view_ = with_vm(with_vm(view_, record(9)), leaving);
    self_.adopt(fleet(), clock_.now());
    EXPECT_FALSE(may_act(key));
}

TEST_F(ownership_test, release_of_an_older_view_counts_for_nothing)
{
    auto const key = key_that_moves_from(2);
    settle();
    auto const old = fleet().epochs();
    view_ = without_vm(view_, record(2));
    self_.adopt(fleet(), clock_.now());
    self_.release(
        record(2).vm, old, released_keys::all_but_targets, clock_.now());
    EXPECT_FALSE(may_act(key));
    self_.release(record(2).vm, fleet().epochs(),
        released_keys::all_but_targets, clock_.now());
    EXPECT_TRUE(may_act(key));
}

TEST_F(ownership_test, lease_after_its_time_ends_unless_a_majority_holds)
{
    freshness lease;
    lease.confirm(clock_.now());
    EXPECT_TRUE(lease.may_act(clock_.now()));
    clock_.advance(freshness_lease);
    EXPECT_FALSE(lease.may_act(clock_.now()));
    lease.hold({7, 500ms}, 8, clock_.now());
    EXPECT_FALSE(lease.may_act(clock_.now()));
    lease.hold({7, 500ms}, 7, clock_.now());
    EXPECT_TRUE(lease.may_act(clock_.now()));
}

} // namespace
} // namespace pomelohinge
