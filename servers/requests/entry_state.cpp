#include "servers/requests/entry_state.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Subtracted from the time for which a read of the configuration is valid. It
/// covers the clock drift between two VMs and the time from the check until the
/// request is sent.
constexpr duration freshness_margin = std::chrono::milliseconds(500);

/// Requests per second above which a VM reports itself as an entry.
constexpr double min_entry_load = 0.5;

/// Approximate size of the heads of a request and its answer, with the frames
/// of TCP and IP.
constexpr std::size_t head_bytes = 800;

} // namespace

void entry_state::adopt(policy_pointer const& next, time_point now)
{
    auto const& members = *next->members;
    auto const entries = static_cast<std::size_t>(std::count_if(members.begin(),
        members.end(), [](auto const& it) { return it.entry; }));
    auto const n = entries > 0 ? entries : members.size();
    limits.set_listed_vms(n, members.size());
    retries.set_vms(members.size(), now);
    evidence.adopt(next->rollouts);
    targets.adopt(next, now);
}

void entry_state::apply_report(traffic_report const& others, time_point now)
{
    limits.apply_report(others, now);
    for (auto const& it : others.suspects)
        poison.merge(it, now);
    spillover.apply_loads(others.loads, now);
    targets.apply_report(others, now);
}

traffic_report entry_state::make_report(time_point now)
{
    traffic_report report;
    report.targets = targets.take_reports();
    report.loads = spillover.loads(now);
    report.organisations = limits.make_report(now);
    report.suspects = poison.suspects(now);
    report.rollouts = evidence.take();
    report.load = load.per_second(now);
    report.entries = report.load > min_entry_load ? 1 : 0;
    return report;
}

void entry_state::tick(time_point now)
{
    spillover.tick(now);
    targets.tick(now);
    limits.remove_idle(now);
    poison.remove_expired(now);
    latencies.remove_idle(now);
}

void entry_state::record_arrival(
    admitted_request const& request, time_point now)
{
    spillover.record_arrival(request.service.text(), request.priority, now);
}

void entry_state::record_rejection(
    admitted_request const& request, time_point now)
{
    spillover.record_refusal(request.service.text(), now);
}

void entry_state::record_answer(admitted_request const& request,
    duration latency, std::size_t body_bytes, time_point now)
{
    spillover.record_answer(request.service.text(), request.route.text(),
        latency, body_bytes + head_bytes, now);
}

bool entry_state::is_fresh(time_point read_at, time_point now) const
{
    if (bounds.max_revocation_delay <= duration::zero())
        return true;
    return read_at != time_point{} &&
        now - read_at < bounds.max_revocation_delay - freshness_margin;
}

bool entry_state::admits_before_stop(admitted_request const& request,
    request_times const& times, time_point now) const
{
    return now < stop.callers_left_at ? ends_before_stop(request, times, now)
                                      : times.deadline <= stop.ends_at;
}

bool entry_state::ends_before_stop(admitted_request const& request,
    request_times const& times, time_point now) const
{
    return !stop.planned() ||
        times.likely_end(latencies.likely_limit(request.route, request.service),
            now) <= stop.ends_at;
}

} // namespace pomelohinge
