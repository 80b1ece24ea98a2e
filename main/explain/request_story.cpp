#include "main/explain/request_story.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace pomelohinge {
namespace {

/// A belief that only holds for the subject that this field names; null for
/// events that replace each other as a whole, and nothing for events that
/// say nothing of beliefs.
struct belief_kind
{
    log_event event;
    char const* subject;
};

constexpr belief_kind belief_kinds[] = {
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
};

belief_kind const* kind_of(log_event event)
{
    auto const it =
        std::find_if(std::begin(belief_kinds), std::end(belief_kinds),
            [&](belief_kind const& kind) { return kind.event == event; });
    return it == std::end(belief_kinds) ? nullptr : it;
}

std::vector<log_record> beliefs_before(
    std::vector<log_record> const& records, request_story const& story)
{
    auto const& first = story.lines.front();
    std::set<std::string> targets;
    for (auto const& it : story.lines)
        targets.insert(it.text("target"));
    std::map<std::pair<log_event, std::string>, log_record const*> last;
    for (auto const& it : records) {
        auto const* const kind = kind_of(it.event);
        if (kind == nullptr || it.source != first.source ||
            it.time_ms > first.time_ms)
            continue;
        auto const subject =
            kind->subject == nullptr ? std::string() : it.text(kind->subject);
        if (kind->subject == nullptr || targets.contains(subject))
            last[{it.event, subject}] = &it;
    }
    std::vector<log_record> beliefs;
    beliefs.reserve(last.size());
    for (auto const& [key, it] : last)
        beliefs.push_back(*it);
    return beliefs;
}

log_record const* last_of(std::vector<log_record> const& lines, log_event event)
{
    auto const it = std::find_if(lines.rbegin(), lines.rend(),
        [&](auto const& line) { return line.event == event; });
    return it == lines.rend() ? nullptr : &*it;
}

std::string describe_rate(log_record const& it)
{
    return fmt::format(
        "organisation {} had used up its rate: {:.0f} a second with a burst "
        "of {:.0f}, {:.0f} let through by all VMs within five seconds; this "
        "VM's share was {:.2f} at {:.1f} asked a second here and {:.1f} "
        "elsewhere",
        it.text("organisation"), it.number("rate"), it.number("burst"),
        it.number("granted_by_all"), it.number("share"), it.number("demand"),
        it.number("demand_elsewhere"));
}

std::string describe_attempt(log_record const& it)
{
    return fmt::format("its attempt {} at target {} ended as {} after {:.0f} "
                       "ms with status {:.0f}",
        it.text("attempt"), it.text("target"), it.text("result"),
        it.number("ms"), it.number("status"));
}

std::string describe_refusal(
    std::vector<log_record> const& lines, log_record const& it)
{
    auto const kind = it.text("kind");
    std::string why = it.text("detail");
    auto const* const rate = last_of(lines, log_event::rate_used_up);
    auto const* const stale = last_of(lines, log_event::configuration_stale);
    auto const* const attempt = last_of(lines, log_event::attempt_ended);
    if (kind == "rate_exceeded" && rate != nullptr)
        why = describe_rate(*rate);
    else if (stale != nullptr)
        why = fmt::format("the configuration was last confirmed {:.0f} ms "
                          "before, too long for a key",
            stale->number("read_age_ms"));
    else if (attempt != nullptr)
        why += "; " + describe_attempt(*attempt);
    return fmt::format(
        "refused as {} with the outcome {} after {:.0f} of {:.0f}"
        " ms, since {}",
        kind, it.text("outcome"), it.number("ms"), it.number("limit_ms"), why);
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
    auto const* const sent = last_of(lines, log_event::request_sent);
    text += fmt::format(", later than its goal of {:.0f} ms", goal);
    if (sent != nullptr)
        text += fmt::format("; it had waited {:.0f} ms for a target",
            sent->number("queued_ms"));
    return text;
}

std::string cause_of(std::vector<log_record> const& lines)
{
    if (auto const* const it = last_of(lines, log_event::request_refused))
        return describe_refusal(lines, *it);
    if (auto const* const it = last_of(lines, log_event::request_answered))
        return describe_answer(lines, *it);
    if (auto const* const it = last_of(lines, log_event::attempt_ended))
        return "no end is logged: the caller went away, or the VM ended; " +
            describe_attempt(*it);
    return "no end is logged: the caller went away, the VM ended, or lines "
           "were dropped";
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

request_story tell_story(
    std::string const& request, std::vector<log_record> records)
{
    std::stable_sort(records.begin(), records.end(),
        [](auto const& left, auto const& right) {
            return left.time_ms < right.time_ms;
        });
    request_story story;
    story.request = request;
    for (auto const& it : records)
        if (it.text("request") == request)
            story.lines.push_back(it);
    if (story.lines.empty()) {
        story.cause = "no line names the request: it reached none of these "
                      "VMs, or its lines were dropped";
        return story;
    }
    story.beliefs = beliefs_before(records, story);
    story.cause = cause_of(story.lines);
    return story;
}

std::string to_text(request_story const& story)
{
    std::string text = "request " + story.request + "\n";
    if (!story.beliefs.empty())
        text += "believed by its entry VM when it came:\n";
    for (auto const& it : story.beliefs)
        text += "  " + describe(it) + "\n";
    if (!story.lines.empty())
        text += "what happened:\n";
    for (auto const& it : story.lines)
        text += "  " + describe(it) + "\n";
    return text + "cause: " + story.cause + "\n";
}

nlohmann::json to_json(request_story const& story)
{
    return {{"request", story.request}, {"cause", story.cause},
        {"beliefs", to_json(story.beliefs)}, {"lines", to_json(story.lines)}};
}

} // namespace pomelohinge
