#include "servers/membership/member_table.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// The members that a VM knows, and lists of hubs that name the VM itself.
/// A VM that is replaced keeps its name, so a hub's list may show an earlier
/// one of another data centre.
class member_table_test : public testing::Test
{
protected:
    static vm_record record(char const* vm, char const* data_centre)
    {
        vm_record it;
        it.vm = vm_id(vm);
        it.data_centre = data_centre_id(data_centre);
        it.peers_address = "10.0.0.1:7000";
        it.callers_address = "10.0.0.1:80";
        it.standing = vm_standing::serving;
        return it;
    }

    vm_record const self_ = record("vm-1", "east");
    member_table table_{self_};
    time_point const now_{std::chrono::hours(1)};
};

TEST_F(
    member_table_test, list_with_self_in_another_data_centre_keeps_own_record)
{
    table_.update_from_hub({{record("vm-1", "west"), true, true, 3}}, now_);
    ASSERT_EQ(table_.members().size(), 1U);
    EXPECT_EQ(table_.members().front().record, self_);
    EXPECT_TRUE(table_.members().front().alive);
}

TEST_F(member_table_test, list_with_self_sets_whether_it_is_an_entry)
{
    auto const sequence = table_.sequence();
    table_.update_from_hub({{self_, true, true, 3}}, now_);
    EXPECT_TRUE(table_.members().front().entry);
    EXPECT_GT(table_.sequence(), sequence);
    EXPECT_EQ(table_.members().front().record, self_);
}

} // namespace
} // namespace pomelohinge
