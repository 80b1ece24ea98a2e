#include "servers/control/hub_selector.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// A candidate that did not answer, or knew little, is left out so long.
constexpr duration retry_unreachable = std::chrono::milliseconds(1500);
constexpr duration retry_stale = std::chrono::milliseconds(2000);

} // namespace

hub_selector::experience hub_selector::of(vm_id const& vm) const
{
    auto const it = seen_.find(vm);
    return it == seen_.end() ? experience{} : it->second;
}

std::optional<vm_record> hub_selector::choose(fleet_members const& members,
    data_centre_id const& data_centre, vm_id const& self, time_point now) const
{
    auto order = hub_order(members, data_centre);
    if (order.size() > max_hub_candidates)
        order.resize(max_hub_candidates);
    fleet_member const* reachable = nullptr;
    for (auto const* it : order) {
        auto const seen = of(it->record.vm);
        bool const is_self = it->record.vm == self;
        if (!is_self && now < seen.unreachable_until)
            continue;
        if (reachable == nullptr)
            reachable = it;
        if (now >= seen.stale_until) {
            reachable = it;
            break;
        }
    }
    if (reachable == nullptr || reachable->record.vm == self)
        return std::nullopt;
    return reachable->record;
}

void hub_selector::failed(vm_id const& vm, time_point now)
{
    seen_[vm].unreachable_until = now + retry_unreachable;
}

void hub_selector::answered(vm_id const& vm, duration read_age, time_point now)
{
    auto& it = seen_[vm];
    it.unreachable_until = {};
    if (read_age > stale_read_age)
        it.stale_until = now + retry_stale;
    else
        it.stale_until = {};
}

} // namespace pomelohinge
