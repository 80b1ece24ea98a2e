#include "servers/requests/entry_state.hpp"
#include "tests/servers/test_charts.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class entry_state_test : public testing::Test
{
protected:
    entry_state_test()
        : charts_(load_all_charts()),
          state_(
              charts_.target, vm_id("vm-0"), data_centre_id("east"), 1,
              [](std::string const&) { return false; }, fleet_bounds())
    {
    }

    void adopt(std::size_t entries, std::size_t vms)
    {
        auto next = std::make_shared<policy>();
        next->index = std::make_shared<configuration_index>(configuration(), 1);
        next->targets = std::make_shared<target_catalogue>();
        auto members = std::make_shared<fleet_members>();
        for (std::size_t it = 0; it < vms; ++it) {
            fleet_member member;
            member.record.vm = vm_id("vm-" + std::to_string(it));
            member.record.data_centre = data_centre_id("east");
            member.alive = true;
            member.entry = it < entries;
            members->push_back(member);
        }
        next->members = members;
        state_.adopt(next, clock_.now());
    }

    manual_clock clock_;
    chart_list charts_;
    entry_state state_;
};

/// Callers with older answers use VMs that are no longer listed. Each of these
/// took a share of the extra retries as large as that of an entry, so that the
/// fleet exceeded its budget.
TEST_F(entry_state_test, extra_retries_are_divided_among_unlisted_vms_too)
{
    constexpr std::size_t vms = 12;
    adopt(2, vms);
    double taken = 0;
    while (state_.retries.take("shop", clock_.now()))
        ++taken;
    EXPECT_LE(taken * vms, fleet_bounds().retry_extra);
}

} // namespace
} // namespace pomelohinge
