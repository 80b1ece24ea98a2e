#include "servers/membership/vm_monitor.hpp"

namespace pomelohinge {

void vm_monitor::context::perform(vm_action action)
{
    switch (action) {
    case vm_action::ask_others:
        wants.ask_others.push_back(record);
        return;
    case vm_action::remove_from_view:
        wants.remove.push_back(record);
        return;
    }
}

void vm_monitor::fire(
    watched_vm& it, vm_event event, time_point now, monitor_wants& wants)
{
    context around{it.record, wants};
    if (it.life.fire(event, around) == chart_step::moved)
        it.entered_at = now;
}

void vm_monitor::follow(data_centre_view const& view, time_point now)
{
    std::map<vm_id, watched_vm> next;
    for (auto const& record : view.vms) {
        auto const known = watched_.find(record.vm);
        bool const same = known != watched_.end() &&
            known->second.record.incarnation == record.incarnation;
        if (!same) {
            next.emplace(record.vm,
                watched_vm{record, chart_instance<vm_chart>(rules_), now});
            continue;
        }
        auto kept = known->second;
        kept.record = record;
        monitor_wants nothing;
        if (record.standing == vm_standing::leaving)
            fire(kept, vm_event::goodbye, now, nothing);
        next.emplace(record.vm, std::move(kept));
    }
    watched_ = std::move(next);
}

void vm_monitor::heard(
    vm_id const& vm, std::uint64_t incarnation, time_point now)
{
    auto const it = watched_.find(vm);
    if (it == watched_.end() || it->second.record.incarnation != incarnation)
        return;
    monitor_wants nothing;
    fire(it->second, vm_event::heard, now, nothing);
}

void vm_monitor::vouched(vm_id const& vm, time_point now)
{
    auto const it = watched_.find(vm);
    if (it == watched_.end())
        return;
    monitor_wants nothing;
    fire(it->second, vm_event::vouched, now, nothing);
}

monitor_wants vm_monitor::tick(time_point now)
{
    monitor_wants wants;
    for (auto& [vm, it] : watched_) {
        auto const& timeout = it.life.timeout();
        if (timeout && now - it.entered_at >= timeout->after)
            fire(it, timeout->event, now, wants);
    }
    return wants;
}

vm_state vm_monitor::state(vm_id const& vm) const
{
    auto const it = watched_.find(vm);
    return it == watched_.end() ? vm_state::gone : it->second.life.state();
}

} // namespace pomelohinge
