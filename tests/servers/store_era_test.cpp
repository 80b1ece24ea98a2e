#include "servers/control/fleet_state.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

constexpr store_era old_era{3, true};
constexpr store_era new_era{4, false};
constexpr store_era settled_era{4, true};

target_record make_target(std::string const& name, std::uint64_t revision,
    target_standing standing = target_standing::serving)
{
    target_record it;
    it.id = target_id(name);
    it.incarnation = 1;
    it.standing = standing;
    it.revision = revision;
    return it;
}

target_changes make_list(store_era const& era, std::uint64_t revision,
    std::vector<target_record> targets)
{
    return {revision, true, std::move(targets), {}, 0, era};
}

/// A copy of the targets `kept`, `draining` and `new`, at revision 100 of an
/// era. The older copy of the store has `removed`, and `draining` as serving.
///
/// Guards against a restored store that brings back what was in force before.
class restored_targets_test : public testing::Test
{
protected:
    restored_targets_test()
    {
        mirror_.apply(make_list(old_era, 100,
            {make_target("kept", 10),
                make_target("draining", 99, target_standing::draining),
                make_target("new", 98)}));
    }

    static std::vector<target_record> older_copy()
    {
        return {make_target("kept", 10), make_target("draining", 11),
            make_target("removed", 12)};
    }

    std::string text() const
    {
        std::string text;
        auto const catalogue = mirror_.catalogue();
        for (auto const& it : catalogue.records())
            text += it.id.text() +
                (it.standing == target_standing::draining ? "(d) " : " ");
        return text;
    }

    target_mirror mirror_;
};

TEST_F(restored_targets_test, list_of_a_new_era_undoes_nothing)
{
    EXPECT_TRUE(mirror_.apply(make_list(new_era, 90, older_copy())));
    EXPECT_EQ(text(), "draining(d) kept new ");
    EXPECT_EQ(mirror_.revision(), 90u);
    EXPECT_FALSE(mirror_.apply(make_list(new_era, 90, older_copy())));
    EXPECT_EQ(text(), "draining(d) kept new ");
}

TEST_F(restored_targets_test, list_of_the_settled_era_is_in_force)
{
    mirror_.apply(make_list(new_era, 90, older_copy()));
    EXPECT_TRUE(mirror_.apply(make_list(settled_era, 90, older_copy())));
    EXPECT_EQ(text(), "draining kept removed ");
}

TEST_F(restored_targets_test, changes_in_the_new_era_are_in_force_at_once)
{
    mirror_.apply(make_list(new_era, 90, older_copy()));
    mirror_.apply({92, false, {make_target("added", 91)}, {target_id("new")}, 0,
        new_era});
    EXPECT_EQ(text(), "added draining(d) kept ");
    auto list = older_copy();
    list[0] = make_target("kept", 93, target_standing::draining);
    mirror_.apply(make_list(new_era, 93, list));
    EXPECT_EQ(text(), "added draining(d) kept(d) ");
}

TEST_F(restored_targets_test, data_of_the_earlier_era_is_ignored_afterwards)
{
    mirror_.apply(make_list(new_era, 90, older_copy()));
    EXPECT_FALSE(mirror_.apply(make_list(old_era, 120, {})));
    EXPECT_FALSE(
        mirror_.apply({120, false, {}, {target_id("kept")}, 0, old_era}));
    EXPECT_EQ(text(), "draining(d) kept new ");
}

TEST_F(restored_targets_test, changes_without_a_list_do_not_begin_an_era)
{
    EXPECT_FALSE(
        mirror_.apply({120, false, {}, {target_id("kept")}, 0, new_era}));
    EXPECT_EQ(mirror_.position().era, old_era);
}

TEST_F(restored_targets_test, another_vm_gets_the_new_era_and_undoes_nothing)
{
    target_mirror other;
    other.apply(make_list(
        old_era, 101, {make_target("kept", 101, target_standing::draining)}));
    mirror_.apply(make_list(new_era, 90, older_copy()));
    auto changes = mirror_.changes_after(other.position());
    ASSERT_TRUE(changes);
    EXPECT_TRUE(changes->whole);
    other.apply(std::move(*changes));
    ASSERT_EQ(other.size(), 1u);
    EXPECT_EQ(
        other.catalogue().records()[0].standing, target_standing::draining);
    EXPECT_FALSE(mirror_.has_changes_after(other.position()));
    mirror_.apply(make_list(settled_era, 95, older_copy()));
    other.apply(*mirror_.changes_after(other.position()));
    EXPECT_EQ(other.size(), 3u);
}

TEST_F(restored_targets_test, vm_that_starts_takes_the_list_as_it_is)
{
    target_mirror fresh;
    EXPECT_TRUE(fresh.apply(make_list(new_era, 90, older_copy())));
    EXPECT_EQ(fresh.size(), 3u);
}

/// Guards against a closed data centre that a restored store opens.
class restored_closures_test : public testing::Test
{
protected:
    static data_centre_closures closed(
        store_era const& era, std::uint64_t revision, char const* name)
    {
        data_centre_closures it{revision, {}, era};
        if (name != nullptr)
            it.closed.emplace_back(name);
        return it;
    }

    fleet_state state_;
};

TEST_F(restored_closures_test, closed_data_centre_opens_when_the_era_settles)
{
    state_.apply_closures(closed(old_era, 100, "east"));
    EXPECT_FALSE(state_.apply_closures(closed(new_era, 90, nullptr)));
    EXPECT_EQ(state_.closures().closed.size(), 1u);
    EXPECT_TRUE(state_.apply_closures(closed(new_era, 91, "west")));
    EXPECT_EQ(state_.closures().closed.size(), 2u);
    EXPECT_TRUE(state_.apply_closures(closed(settled_era, 91, "west")));
    EXPECT_EQ(state_.closures().closed,
        std::vector<data_centre_id>{data_centre_id("west")});
    EXPECT_FALSE(state_.apply_closures(closed(old_era, 200, "east")));
    EXPECT_EQ(state_.closures().closed.size(), 1u);
}

/// Guards against an older copy that is trusted at once, and against a store
/// without eras that is not trusted.
class era_tracker_test : public testing::Test
{
protected:
    manual_clock clock_;
    era_tracker tracker_;
};

TEST_F(era_tracker_test, store_without_eras_is_always_settled)
{
    EXPECT_FALSE(tracker_.note(0, {}, clock_.now()));
    EXPECT_EQ(tracker_.era_of(0, clock_.now()), store_era{});
}

TEST_F(era_tracker_test, new_era_settles_two_seconds_after_its_first_answer)
{
    EXPECT_TRUE(tracker_.note(4, old_era, clock_.now()));
    EXPECT_FALSE(tracker_.note(4, old_era, clock_.now()));
    EXPECT_FALSE(tracker_.era_of(4, clock_.now() + 1900ms).is_settled);
    EXPECT_TRUE(tracker_.era_of(4, clock_.now() + 2s).is_settled);
}

TEST_F(era_tracker_test, era_that_settled_for_other_vms_is_settled)
{
    EXPECT_TRUE(tracker_.note(4, settled_era, clock_.now()));
    EXPECT_TRUE(tracker_.era_of(4, clock_.now()).is_settled);
}

} // namespace
} // namespace pomelohinge
