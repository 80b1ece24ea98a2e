#include "servers/selection/cold_senders.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// The VMs that may send to a cold target, as one VM sees the fleet.
class cold_senders_test : public testing::Test
{
protected:
    cold_senders_test()
    {
        target_.id = target_id("t");
        target_.data_centre = data_centre_id("east");
        add("east-1", "east");
        add("east-2", "east");
        add("east-3", "east");
        add("west-1", "west");
    }

    void add(char const* vm, char const* data_centre)
    {
        fleet_member it;
        it.record.vm = vm_id(vm);
        it.record.data_centre = data_centre_id(data_centre);
        it.alive = it.entry = true;
        members_.push_back(it);
    }

    std::set<std::string> senders() const
    {
        std::set<std::string> names;
        for (auto const& it : cold_senders(members_, target_))
            names.insert(it.text());
        return names;
    }

    target_record target_;
    fleet_members members_;
};

TEST_F(cold_senders_test, two_entries_of_its_data_centre_send)
{
    EXPECT_EQ(senders().size(), max_cold_senders);
    EXPECT_FALSE(senders().contains("west-1"));
}

TEST_F(cold_senders_test, entry_that_is_gone_is_replaced)
{
    auto const before = senders();
    for (auto& it : members_)
        it.alive = it.record.vm != vm_id(*before.begin());
    EXPECT_EQ(senders().size(), max_cold_senders);
    EXPECT_FALSE(senders().contains(*before.begin()));
}

/// Guards against VMs that lose contact with a data centre and send to its cold
/// targets beside its own entries.
TEST_F(cold_senders_test, entries_that_are_not_heard_of_are_not_replaced)
{
    auto const before = senders();
    for (auto& it : members_)
        it.alive = it.record.data_centre != target_.data_centre;
    EXPECT_EQ(senders(), before);
}

TEST_F(cold_senders_test, other_data_centres_send_if_its_own_has_no_entries)
{
    for (auto& it : members_)
        it.entry = it.record.data_centre != target_.data_centre;
    EXPECT_EQ(senders(), std::set<std::string>{"west-1"});
}

} // namespace
} // namespace pomelohinge
