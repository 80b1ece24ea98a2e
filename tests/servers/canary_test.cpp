#include "tests/servers/dispatch_fixture.hpp"

namespace pomelohinge {
namespace {

/// A service of which a version is on trial.
class canary_test : public dispatch_fixture
{
protected:
    static constexpr double share = 0.05;

    canary_test()
    {
        for (auto const* it : {"old-1", "old-2", "old-3"})
            add(it, "east", 8);
        add("new-1", "east", 8);
        add("new-2", "east", 8);
    }

    void set_roles(
        rollout_role first, rollout_role second, rollout_role old_version)
    {
        rollout_table table;
        table.set_open(service_id("shop"), {"v2", share, {}});
        for (auto const& it : records_)
            if (it.id.text().starts_with("old"))
                table.set_role(it.id, old_version);
        table.set_role(target_id("new-1"), first);
        table.set_role(target_id("new-2"), second);
        rollouts_ = std::make_shared<rollout_table>(std::move(table));
        adopt();
    }

    /// Places `n` requests one after the other; returns how many each target
    /// got.
    std::map<std::string, int> place_all(int n)
    {
        std::map<std::string, int> counts;
        for (int it = 0; it < n; ++it) {
            ++counts[place(make_request())];
            end_attempt(last_);
            clock_.advance(10ms);
        }
        return counts;
    }
};

TEST_F(canary_test, target_on_trial_gets_its_share_and_no_more)
{
    set_roles(rollout_role::canary, rollout_role::withheld, rollout_role::open);
    auto counts = place_all(1000);
    EXPECT_GE(counts["new-1"], 49);
    EXPECT_LE(counts["new-1"], 51);
    EXPECT_EQ(counts["new-2"], 0);
}

/// A target that is withheld got requests as a probe or for the floor.
TEST_F(canary_test, withheld_targets_get_nothing_while_others_fail)
{
    set_roles(
        rollout_role::withheld, rollout_role::withheld, rollout_role::open);
    for (int n = 0; n < 200; ++n) {
        auto const name = place(make_request(1, true));
        EXPECT_FALSE(name.starts_with("new")) << name;
        if (!name.empty())
            end_attempt(last_, attempt_result::server_error);
        clock_.advance(50ms);
        dispatcher_.tick(clock_.now());
    }
}

TEST_F(canary_test, requests_that_failed_elsewhere_are_not_sent_on_trial)
{
    set_roles(rollout_role::canary, rollout_role::canary, rollout_role::open);
    for (int n = 0; n < 200; ++n) {
        auto request = make_request();
        request.tried = {target_id("old-1")};
        EXPECT_TRUE(place(request).starts_with("old"));
        end_attempt(last_);
        clock_.advance(10ms);
    }
}

TEST_F(canary_test, share_that_finds_no_free_slot_is_not_made_up_for_in_a_burst)
{
    set_roles(rollout_role::canary, rollout_role::withheld, rollout_role::open);
    std::vector<target_record> held;
    while (held.size() < 8) {
        auto const name = place(make_request());
        if (name == "new-1")
            held.push_back(last_);
        else
            end_attempt(last_);
    }
    EXPECT_EQ(place_all(500)["new-1"], 0);
    for (auto const& it : held)
        end_attempt(it);
    EXPECT_LE(place_all(20)["new-1"], 3);
}

TEST_F(canary_test, old_version_gets_nothing_after_the_switch)
{
    set_roles(rollout_role::open, rollout_role::open, rollout_role::withheld);
    for (auto const& [name, n] : place_all(200))
        EXPECT_TRUE(name.starts_with("new")) << name;
}

} // namespace
} // namespace pomelohinge
