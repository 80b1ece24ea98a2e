#include "servers/control/probe_schedule.hpp"
#include "tests/servers/test_charts.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// The probes of one VM whose other ones do not answer, or of which one does.
///
/// Guards against a search that takes a timeout for each VM that is lost, and
/// against one whose messages grow with the size of the fleet.
class probe_schedule_test : public testing::Test
{
protected:
    static constexpr duration probe_timeout = 500ms;
    static constexpr duration tick = 100ms;

    void add_vms(char const* data_centre, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            fleet_member it;
            it.record.data_centre = data_centre_id(data_centre);
            it.record.vm = vm_id(data_centre + std::to_string(n));
            it.record.standing = vm_standing::serving;
            members_.push_back(it);
        }
    }

    /// The VM at position `n` of the hub order of a data centre.
    vm_record vm_at(std::size_t n, char const* data_centre = "east")
    {
        return hub_order(members_, data_centre_id(data_centre))[n]->record;
    }

    /// Lets `self` probe for `span` while only `answering` answers. Returns the
    /// number of probes in each second.
    std::vector<std::size_t> probe(vm_record const& self, bool is_hub,
        duration span, vm_id const& answering = vm_id())
    {
        std::vector<std::size_t> counts;
        auto const begin = clock_.now();
        for (; clock_.now() < begin + span; clock_.advance(tick)) {
            end_probes(answering);
            auto const second =
                static_cast<std::size_t>(to_seconds(clock_.now() - begin));
            counts.resize(second + 1);
            for (auto const& it :
                schedule_.begin(members_, self, is_hub, clock_.now())) {
                in_flight_.emplace_back(clock_.now(), it.vm);
                ++counts[second];
                ++probed_[it.vm];
            }
        }
        return counts;
    }

    void end_probes(vm_id const& answering)
    {
        std::erase_if(in_flight_, [&](auto const& it) {
            auto const& [began_at, vm] = it;
            bool const answers = vm == answering;
            if (!answers && clock_.now() - began_at < probe_timeout)
                return false;
            schedule_.end(vm);
            if (answers)
                selector_.note_answer(vm, clock_.now());
            else
                selector_.note_failure(vm, clock_.now());
            return true;
        });
    }

    /// The time until `self`, whose hub has failed, has found `next`.
    duration find_next(vm_record const& self, vm_record const& next)
    {
        selector_.note_hub_failure(members_, vm_at(0), clock_.now());
        auto const begin = clock_.now();
        while (clock_.now() - begin < 30s) {
            probe(self, false, tick, next.vm);
            auto const chosen = selector_.choose(members_, self);
            // The VM itself is found if all before it are unreachable.
            if (!chosen ? self == next : selector_.is_reached(chosen->vm))
                break;
            // The hub that is asked in the meantime does not answer either.
            if (chosen && chosen->vm != next.vm &&
                clock_.now() - begin >= probe_timeout)
                selector_.note_failure(chosen->vm, clock_.now());
        }
        return clock_.now() - begin;
    }

    manual_clock clock_;
    fleet_members members_;
    chart_list const charts_ = load_all_charts();
    hub_selector selector_{charts_.hub_candidate};
    probe_schedule schedule_{selector_};
    std::vector<std::pair<time_point, vm_id>> in_flight_;
    std::map<vm_id, std::size_t> probed_;
};

TEST_F(probe_schedule_test, follower_of_a_hub_that_answers_probes_nobody)
{
    add_vms("east", 12);
    selector_.note_answer(vm_at(0).vm, clock_.now());
    probe(vm_at(5), false, 10s);
    EXPECT_TRUE(probed_.empty());
}

TEST_F(probe_schedule_test, next_hub_is_found_in_seconds_in_a_small_fleet)
{
    add_vms("east", 12);
    EXPECT_LE(find_next(vm_at(11), vm_at(10)), 2s);
}

/// 92 VMs of each of 13 data centres.
TEST_F(probe_schedule_test, next_hub_is_found_in_seconds_at_the_design_size)
{
    add_vms("east", 92);
    EXPECT_LE(find_next(vm_at(91), vm_at(90)), 6s);
}

TEST_F(probe_schedule_test, last_vm_finds_that_it_is_alone)
{
    add_vms("east", 92);
    EXPECT_LE(find_next(vm_at(91), vm_at(91)), 6s);
}

TEST_F(probe_schedule_test, probes_are_bounded_whatever_the_size_of_the_fleet)
{
    // What a probe and its answer cost is tested with their encoding.
    constexpr std::size_t max_probes_per_second = 9000 / 260;
    for (auto const* it : {"east", "north", "west"})
        add_vms(it, 400);
    auto self = vm_at(399);
    for (auto const count : probe(self, true, 30s))
        EXPECT_LE(count, max_probes_per_second);
}

TEST_F(probe_schedule_test, hub_finds_vms_that_it_does_not_hear_of)
{
    add_vms("east", 12);
    probe(vm_at(0), true, 5s);
    EXPECT_EQ(probed_.size(), 11u);
}

TEST_F(probe_schedule_test, hub_goes_on_probing_vms_that_come_before_it)
{
    add_vms("east", 12);
    probe(vm_at(2), true, 30s);
    probed_.clear();
    probe(vm_at(2), true, 3s);
    EXPECT_TRUE(probed_.contains(vm_at(0).vm));
    EXPECT_TRUE(probed_.contains(vm_at(1).vm));
}

TEST_F(probe_schedule_test, hub_probes_a_vm_that_has_left_and_comes_before_it)
{
    add_vms("east", 12);
    auto const first = vm_at(0).vm;
    auto const self = vm_at(1);
    for (auto& it : members_) {
        it.alive = it.record.vm != first;
        if (!it.alive)
            it.record.standing = vm_standing::leaving;
    }
    probe(self, true, 3s);
    EXPECT_EQ(probed_.size(), 1u);
    EXPECT_GE(probed_[first], 2u);
}

/// Guards against a partition that stays after it has ended, since both sides
/// have given up.
TEST_F(probe_schedule_test, hub_goes_on_probing_data_centres_without_a_hub)
{
    add_vms("east", 3);
    add_vms("north", 40);
    for (auto& it : members_)
        it.alive = it.record.data_centre == data_centre_id("east");
    for (std::size_t n = 0; n < 40; ++n)
        selector_.note_failure(vm_at(n, "north").vm, clock_.now());
    probe(vm_at(0), true, 60s);
    probed_.clear();
    probe(vm_at(0), true, 3s);
    EXPECT_TRUE(probed_.contains(vm_at(0, "north").vm));
    probe(vm_at(0), true, 12s);
    EXPECT_EQ(probed_.size(), 40u);
}

} // namespace
} // namespace pomelohinge
