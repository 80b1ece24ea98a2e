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

/// Guards against a VM that a list shows as alive but that counts as gone for a
/// moment because it once sent a question to this VM.
TEST_F(member_table_test, vm_that_a_hub_hears_of_outlives_its_own_question)
{
    using namespace std::chrono_literals;
    auto const other = record("vm-2", "east");
    table_.update_from_hub({{other, true, false, 0}}, now_);
    table_.update_from_vm(other, 0, 1s, now_ + 100ms);
    table_.confirm_listed(std::nullopt, now_ + 900ms);
    table_.expire(now_ + 1200ms);
    EXPECT_TRUE(table_.find(other.vm)->alive);
    table_.expire(now_ + 5s);
    EXPECT_FALSE(table_.find(other.vm)->alive);
}

TEST_F(member_table_test, hub_counts_a_silent_vm_as_gone_whatever_lists_said)
{
    using namespace std::chrono_literals;
    auto const other = record("vm-2", "east");
    table_.update_from_hub({{other, true, false, 0}}, now_);
    table_.update_from_vm(other, 0, 1s, now_ + 100ms);
    table_.expire(now_ + 1200ms);
    EXPECT_FALSE(table_.find(other.vm)->alive);
}

/// Guards against a hub of another data centre whose questions hide that it is
/// an entry.
TEST_F(member_table_test, list_sets_whether_a_vm_that_asks_is_an_entry)
{
    using namespace std::chrono_literals;
    auto const other = record("vm-2", "west");
    table_.update_from_vm(other, 0, 1s, now_);
    auto const sequence = table_.sequence();
    table_.update_from_hub({{other, true, true, 0}}, now_ + 100ms);
    EXPECT_TRUE(table_.find(other.vm)->entry);
    EXPECT_GT(table_.sequence(), sequence);
}

TEST_F(member_table_test, pause_of_this_vm_is_no_silence_of_others)
{
    using namespace std::chrono_literals;
    auto const other = record("vm-2", "east");
    table_.update_from_vm(other, 0, 1s, now_);
    table_.postpone_expiry(5s);
    table_.expire(now_ + 5500ms);
    EXPECT_TRUE(table_.find(other.vm)->alive);
    table_.expire(now_ + 6s);
    EXPECT_FALSE(table_.find(other.vm)->alive);
}

TEST_F(member_table_test, unreachable_vm_is_gone_unless_it_sends_questions)
{
    using namespace std::chrono_literals;
    auto const other = record("vm-2", "east");
    table_.update_from_hub({{other, true, false, 0}}, now_);
    table_.set_unreachable(other.vm, now_ + 100ms);
    EXPECT_FALSE(table_.find(other.vm)->alive);
    table_.update_from_vm(other, 0, 1s, now_ + 200ms);
    table_.set_unreachable(other.vm, now_ + 300ms);
    EXPECT_TRUE(table_.find(other.vm)->alive);
}

} // namespace
} // namespace pomelohinge
