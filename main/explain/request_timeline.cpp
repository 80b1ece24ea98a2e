#include "main/explain/request_timeline.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace pomelohinge {
namespace {

/// An event that reports a part of a VM's state. A later event of the same kind
/// replaces an earlier one.
struct state_event
{
    log_event event;
    /// The log field that identifies the subject, if each subject has a state
    /// of its own; null if the event describes the state as a whole.
    char const* subject;
};

constexpr state_event state_events[] = {
    {log_event::started, nullptr},
    {log_event::stopping, nullptr},
    {log_event::configuration_applied, nullptr},
    {log_event::targets_changed, nullptr},
    {log_event::closures_changed, nullptr},
    {log_event::store_unreachable, nullptr},
    {log_event::store_reached, nullptr},
    {log_event::hub_chosen, nullptr},
    {log_event::entries_chosen, nullptr},
    {log_event::target_state_changed, "target"},
    {log_event::target_path_changed, "target"},
    {log_event::target_leaving, "target"},
    {log_event::target_paused, "target"},
    {log_event::target_replaced, "target"},
};

/// Returns null if `event` does not report state.
state_event const* find_state_event(log_event event)
{
    auto const it =
        std::find_if(std::begin(state_events), std::end(state_events),
            [&](state_event const& it) { return it.event == event; });
    return it == std::end(state_events) ? nullptr : it;
}

std::vector<log_record> find_entry_vm_state(
    std::vector<log_record> const& records, request_timeline const& timeline)
{
    auto const& first = timeline.lines.front();
    std::set<std::string> targets;
    for (auto const& it : timeline.lines)
        targets.insert(it.text("target"));
    std::map<std::pair<log_event, std::string>, log_record const*> last;
    for (auto const& it : records) {
        auto const* const state = find_state_event(it.event);
        if (state == nullptr || it.source != first.source ||
            it.time_ms > first.time_ms)
            continue;
        auto const subject =
            state->subject == nullptr ? std::string() : it.text(state->subject);
        if (state->subject == nullptr || targets.contains(subject))
            last[{it.event, subject}] = &it;
    }
    std::vector<log_record> entry_vm_state;
    entry_vm_state.reserve(last.size());
    for (auto const& [key, it] : last)
        entry_vm_state.push_back(*it);
    return entry_vm_state;
}

log_record const* find_last(
    std::vector<log_record> const& lines, log_event event)
{
    auto const it = std::find_if(lines.rbegin(), lines.rend(),
        [&](auto const& line) { return line.event == event; });
    return it == lines.rend() ? nullptr : &*it;
}

std::string describe_rate(log_record const& it)
{
    return fmt::format(
        "organisation {} exceeded its rate limit of {:.0f} requests per "
        "second with a burst of {:.0f}: {:.0f} granted by all VMs within five "
        "seconds; this VM's share was {:.2f} with a demand of {:.1f} requests "
        "per second here and {:.1f} elsewhere",
        it.text("organisation"), it.number("rate"), it.number("burst"),
        it.number("granted_by_all"), it.number("share"), it.number("demand"),
        it.number("demand_elsewhere"));
}

std::string describe_attempt(log_record const& it)
{
    return fmt::format("attempt {} at target {} ended with {} after {:.0f} "
                       "ms and status {:.0f}",
        it.text("attempt"), it.text("target"), it.text("result"),
        it.number("ms"), it.number("status"));
}

std::string describe_refusal(
    std::vector<log_record> const& lines, log_record const& it)
{
    auto const kind = it.text("kind");
    std::string reason = it.text("detail");
    auto const* const rate = find_last(lines, log_event::rate_used_up);
    auto const* const stale = find_last(lines, log_event::configuration_stale);
    auto const* const attempt = find_last(lines, log_event::attempt_ended);
    if (kind == "rate_exceeded" && rate != nullptr)
        reason = describe_rate(*rate);
    else if (stale != nullptr)
        reason = fmt::format("the configuration was last confirmed {:.0f} ms "
                             "before, too long ago to accept a key",
            stale->number("read_age_ms"));
    else if (attempt != nullptr)
        reason += "; " + describe_attempt(*attempt);
    return fmt::format(
        "refused with {} and outcome {} after {:.0f} of {:.0f} ms: {}", kind,
        it.text("outcome"), it.number("ms"), it.number("limit_ms"), reason);
}

std::string describe_answer(
    std::vector<log_record> const& lines, log_record const& it)
{
    auto text = fmt::format("answered by target {} with status {:.0f} after "
                            "{:.0f} ms and {:.0f} attempts",
        it.text("target"), it.number("status"), it.number("ms"),
        it.number("attempts"));
    auto const goal = it.number("goal_ms");
    if (goal <= 0 || it.number("ms") <= goal)
        return text;
    auto const* const sent = find_last(lines, log_event::request_sent);
    text += fmt::format(", later than its goal of {:.0f} ms", goal);
    if (sent != nullptr)
        text += fmt::format("; it had waited {:.0f} ms for a target",
            sent->number("queued_ms"));
    return text;
}

std::string find_cause(std::vector<log_record> const& lines)
{
    if (auto const* const it = find_last(lines, log_event::request_refused))
        return describe_refusal(lines, *it);
    if (auto const* const it = find_last(lines, log_event::request_answered))
        return describe_answer(lines, *it);
    if (auto const* const it = find_last(lines, log_event::attempt_ended))
        return "no end is logged: the caller disconnected or the VM stopped; " +
            describe_attempt(*it);
    return "no end is logged: the caller disconnected, the VM stopped or log "
           "lines were dropped";
}

std::string describe(log_record const& it)
{
    std::string text =
        fmt::format("{} {} {}", it.time_ms, it.source, to_name(it.event));
    for (auto const& [name, value] : it.fields.items())
        if (name != "time_ms" && name != "event" && name != "number" &&
            name != "level" && name != "request")
            text += fmt::format(" {}={}", name,
                value.is_string() ? value.get<std::string>() : value.dump());
    return text;
}

nlohmann::json to_json(std::vector<log_record> const& records)
{
    auto rows = nlohmann::json::array();
    for (auto const& it : records) {
        auto row = it.fields;
        row["source"] = it.source;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace

request_timeline build_timeline(
    std::string const& request, std::vector<log_record> records)
{
    std::stable_sort(records.begin(), records.end(),
        [](auto const& left, auto const& right) {
            return left.time_ms < right.time_ms;
        });
    request_timeline timeline;
    timeline.request = request;
    for (auto const& it : records)
        if (it.text("request") == request)
            timeline.lines.push_back(it);
    if (timeline.lines.empty()) {
        timeline.cause = "no line names the request: it reached none of "
                         "these VMs or its log lines were dropped";
        return timeline;
    }
    timeline.entry_vm_state = find_entry_vm_state(records, timeline);
    timeline.cause = find_cause(timeline.lines);
    return timeline;
}

std::string to_text(request_timeline const& timeline)
{
    std::string text = "request " + timeline.request + "\n";
    if (!timeline.entry_vm_state.empty())
        text += "state of its entry VM when it arrived:\n";
    for (auto const& it : timeline.entry_vm_state)
        text += "  " + describe(it) + "\n";
    if (!timeline.lines.empty())
        text += "events:\n";
    for (auto const& it : timeline.lines)
        text += "  " + describe(it) + "\n";
    return text + "cause: " + timeline.cause + "\n";
}

nlohmann::json to_json(request_timeline const& timeline)
{
    return {{"request", timeline.request}, {"cause", timeline.cause},
        {"beliefs", to_json(timeline.entry_vm_state)},
        {"lines", to_json(timeline.lines)}};
}

} // namespace pomelohinge
