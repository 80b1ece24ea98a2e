#include "servers/control/store_turns.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// Guards against VMs that all call a store that does not answer, and against
/// one that waits for others that do not exist.
class store_turns_test : public testing::Test
{
protected:
    static constexpr std::size_t vms = 60;

    /// The moments, since the first one, at which a VM with `rank` of `vms`
    /// reads during `span`. Each read fails at once.
    std::vector<duration> turns(std::size_t rank, duration span)
    {
        store_turns it;
        std::vector<duration> moments;
        auto const began_at = clock_.now();
        while (clock_.now() - began_at < span) {
            it.note_contact(clock_.now());
            bool const reads = it.must_read({rank, vms, 3},
                moments.empty() ? read_outcome::pending : read_outcome::failed,
                clock_.now());
            if (reads)
                moments.push_back(clock_.now() - began_at);
            clock_.advance(10ms);
        }
        return moments;
    }

    manual_clock clock_;
    store_turns turns_;
};

TEST_F(store_turns_test, vms_of_a_data_centre_read_one_after_the_other)
{
    EXPECT_EQ(turns(0, 5s), std::vector<duration>{0ms});
    EXPECT_EQ(turns(1, 5s), std::vector<duration>{0ms});
    EXPECT_EQ(turns(2, 5s), std::vector<duration>{150ms});
    EXPECT_EQ(turns(21, 5s), std::vector<duration>{3000ms});
}

TEST_F(store_turns_test, failed_turn_is_followed_by_those_of_all_others)
{
    auto const moments = turns(2, 20s);
    ASSERT_EQ(moments.size(), 3u);
    EXPECT_GE(moments[1] - moments[0], vms * 150ms);
}

TEST_F(store_turns_test, vm_that_hears_from_no_other_does_not_wait)
{
    EXPECT_FALSE(turns_.must_read({50, vms, 3}, {}, clock_.now()));
    clock_.advance(150ms);
    EXPECT_TRUE(turns_.must_read({50, vms, 3}, {}, clock_.now()));
}

TEST_F(store_turns_test, turn_that_succeeds_lasts_and_the_next_comes_first)
{
    turns_.note_contact(clock_.now());
    EXPECT_FALSE(turns_.must_read({12, vms, 1}, {}, clock_.now()));
    clock_.advance(600ms);
    turns_.note_contact(clock_.now());
    EXPECT_TRUE(turns_.must_read({12, vms, 1}, {}, clock_.now()));
    for (int n = 0; n < 50; ++n) {
        clock_.advance(100ms);
        turns_.note_contact(clock_.now());
        EXPECT_TRUE(turns_.note_outcome(read_outcome::succeeded, clock_.now()));
        EXPECT_TRUE(turns_.must_read(
            {12, vms, 1}, read_outcome::succeeded, clock_.now()));
    }
    turns_.end();
    clock_.advance(3s);
    turns_.note_contact(clock_.now());
    EXPECT_TRUE(turns_.must_read({12, vms, 1}, {}, clock_.now()));
}

/// A fleet of one data centre whose VMs differ in nothing but their names.
class turn_place_test : public testing::Test
{
protected:
    turn_place_test()
    {
        for (int n = 0; n < 10; ++n) {
            vm_record it;
            it.vm = vm_id("vm-" + std::to_string(n));
            it.data_centre = data_centre_id("east");
            members_.push_back({it, true, false, 0});
        }
    }

    std::size_t rank(vm_record const& vm) const
    {
        return find_turn_place(members_, vm, 1).rank;
    }

    fleet_members members_;
};

TEST_F(turn_place_test, each_vm_has_a_rank_and_candidates_come_last)
{
    std::set<std::size_t> ranks;
    for (auto const& it : members_)
        ranks.insert(rank(it.record));
    EXPECT_EQ(ranks.size(), members_.size());
    auto const order = hub_order(members_, data_centre_id("east"));
    for (std::size_t n = 0; n < order.size(); ++n)
        EXPECT_EQ(rank(order[n]->record) >= members_.size() - 3,
            n < likely_hub_count);
}

TEST_F(turn_place_test, vms_that_are_gone_are_no_neighbours)
{
    members_[3].alive = false;
    members_[4].record.standing = vm_standing::leaving;
    auto const& self = members_[5].record;
    EXPECT_EQ(find_neighbours(members_, self, true).size(), 8u);
    // Without a hub, nobody tells which VMs are alive.
    EXPECT_EQ(find_neighbours(members_, self, false).size(), 9u);
}

} // namespace
} // namespace pomelohinge
