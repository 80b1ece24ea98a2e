#include "servers/control/hub_selector.hpp"

#include "core/log.hpp"

namespace pomelohinge {

hub_candidate& hub_selector::candidate(vm_id const& vm)
{
    return candidates_.try_emplace(vm, candidate_chart_).first->second;
}

std::optional<vm_record> hub_selector::choose(
    fleet_members const& members, vm_record const& self)
{
    for (auto const* it : hub_order(members, self.data_centre)) {
        if (it->record.vm == self.vm)
            return std::nullopt;
        if (!is_unreachable(it->record.vm))
            return it->record;
    }
    return std::nullopt;
}

std::optional<vm_record> hub_selector::choose_remote(
    fleet_members const& members, data_centre_id const& data_centre,
    time_point now)
{
    std::optional<vm_record> first;
    for (auto const* it : hub_order(members, data_centre)) {
        if (is_unreachable(it->record.vm))
            continue;
        if (candidate(it->record.vm).acts_as_hub(now))
            return it->record;
        if (!first)
            first = it->record;
    }
    return first;
}

void hub_selector::note_failure(vm_id const& vm, time_point now)
{
    if (!is_unreachable(vm))
        log(log_event::hub_unreachable, {{"hub", vm.text()}});
    candidate(vm).record_failure(now);
}

void hub_selector::note_hub_failure(
    fleet_members const& members, vm_record const& hub, time_point now)
{
    note_failure(hub.vm, now);
    for (auto const& it : members)
        if (it.record.data_centre == hub.data_centre)
            candidate(it.record.vm).record_doubt(now);
}

void hub_selector::note_answer(vm_id const& vm, time_point now)
{
    if (is_unreachable(vm))
        log(log_event::hub_returned, {{"hub", vm.text()}});
    candidate(vm).record_answer(now);
}

} // namespace pomelohinge
