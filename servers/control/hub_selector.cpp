#include "servers/control/hub_selector.hpp"

#include <algorithm>
#include <set>

namespace pomelohinge {
namespace {

/// How long a candidate is skipped after it did not answer, or after it
/// answered with stale data.
constexpr duration unreachable_backoff = std::chrono::milliseconds(1500);
constexpr duration stale_backoff = std::chrono::milliseconds(2000);

} // namespace

hub_selector::candidate_state hub_selector::state_of(vm_id const& vm) const
{
    auto const it = candidates_.find(vm);
    return it == candidates_.end() ? candidate_state{} : it->second;
}

std::optional<vm_record> hub_selector::choose(fleet_members const& members,
    data_centre_id const& data_centre, vm_id const& self, time_point now) const
{
    auto order = hub_order(members, data_centre);
    if (order.size() > max_hub_candidates)
        order.resize(max_hub_candidates);
    fleet_member const* selected = nullptr;
    for (auto const* it : order) {
        auto const state = state_of(it->record.vm);
        bool const is_self = it->record.vm == self;
        if (!is_self && now < state.unreachable_until)
            continue;
        if (selected == nullptr)
            selected = it;
        if (now >= state.stale_until) {
            selected = it;
            break;
        }
    }
    if (selected == nullptr || selected->record.vm == self)
        return std::nullopt;
    return selected->record;
}

std::optional<vm_record> hub_selector::find_returned(
    fleet_members const& members, data_centre_id const& data_centre,
    vm_id const& self, time_point now) const
{
    std::set<vm_id> gone;
    for (auto const& it : members)
        if (!it.alive && it.record.standing == vm_standing::leaving &&
            it.record.data_centre == data_centre)
            gone.insert(it.record.vm);
    if (gone.empty())
        return std::nullopt;
    auto restored = members;
    for (auto& it : restored)
        if (gone.contains(it.record.vm))
            it.record.standing = vm_standing::serving;
    for (auto const* it : hub_order(restored, data_centre)) {
        auto const& vm = it->record.vm;
        if (vm == self)
            break;
        if (gone.contains(vm) && now >= state_of(vm).unreachable_until)
            return it->record;
    }
    return std::nullopt;
}

std::optional<vm_record> hub_selector::find_unheard(
    fleet_members const& members, data_centre_id const& data_centre,
    vm_id const& self, time_point now) const
{
    auto order = hub_order(members, data_centre);
    // The hub that `self` replaces was a candidate before `self` came.
    if (order.size() > max_hub_candidates + 1)
        order.resize(max_hub_candidates + 1);
    bool is_after_self = false;
    for (auto const* it : order) {
        auto const& vm = it->record.vm;
        bool const may_be_hub = is_after_self && !it->alive &&
            it->record.standing != vm_standing::leaving &&
            now >= state_of(vm).unreachable_until;
        if (may_be_hub)
            return it->record;
        is_after_self |= vm == self;
    }
    return std::nullopt;
}

void hub_selector::note_failure(vm_id const& vm, time_point now)
{
    auto& it = candidates_[vm];
    it.reached = false;
    it.unreachable_until = now + unreachable_backoff;
}

void hub_selector::note_answer(
    vm_id const& vm, duration read_age, time_point now)
{
    auto& it = candidates_[vm];
    it.reached = true;
    it.unreachable_until = {};
    if (read_age > max_fresh_read_age)
        it.stale_until = now + stale_backoff;
    else
        it.stale_until = {};
}

} // namespace pomelohinge
