#include "core/chart_text.hpp"

#include "core/object_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace pomelohinge {
namespace {

constexpr std::int64_t max_timeout_ms = 24LL * 60 * 60 * 1000;

/// Builds a `chart_text` from the parsed JSON document.
class chart_parser
{
public:
    chart_parser(json_document const& document, findings& found)
        : document_(document), found_(found)
    {
    }

    chart_text parse()
    {
        chart_text built;
        object_reader reader(document_, "", found_);
        reader.text("chart", built.name);
        built.initial = read_name(reader, "", "initial");
        reader.allow("states");
        reader.allow("about");
        reader.finish();
        auto const states = document_.value.find("states");
        if (states == document_.value.end() || !states->is_object()) {
            found_.add(document_.position_of("/states"), "/states",
                "an object of states is expected");
            return built;
        }
        for (auto const& it : states->items())
            built.states.push_back(parse_state(it.key()));
        return built;
    }

private:
    chart_name read_name(object_reader& reader, std::string const& pointer,
        std::string const& field, presence expected = presence::required)
    {
        chart_name name;
        reader.text(field, name.text, expected);
        name.position = document_.position_of(pointer + "/" + field);
        return name;
    }

    chart_state_text parse_state(std::string const& key)
    {
        auto const pointer = "/states/" + escape_pointer_token(key);
        chart_state_text built;
        built.name = {key, document_.position_of(pointer)};
        object_reader reader(document_, pointer, found_);
        reader.flag("final", built.is_final, presence::optional);
        reader.allow("timeout");
        reader.allow("on");
        reader.finish();
        if (reader.has("timeout"))
            parse_timeout(pointer + "/timeout", built);
        if (reader.has("on"))
            parse_transitions(pointer + "/on", built);
        if (built.is_final &&
            (!built.transitions.empty() || built.timeout_event))
            reader.add(
                "final", "a final state cannot have transitions or a timeout");
        return built;
    }

    void parse_timeout(std::string const& pointer, chart_state_text& state)
    {
        std::int64_t after_ms = 0;
        object_reader reader(document_, pointer, found_);
        reader.integer("after_ms", after_ms, 1, max_timeout_ms);
        state.timeout_after = std::chrono::milliseconds(after_ms);
        state.timeout_event = read_name(reader, pointer, "event");
        reader.finish();
    }

    void parse_transitions(std::string const& pointer, chart_state_text& state)
    {
        auto const& transitions =
            document_.value.at(nlohmann::json::json_pointer(pointer));
        if (!transitions.is_object())
            return found_.add(document_.position_of(pointer), pointer,
                "an object of transitions is expected");
        for (auto const& it : transitions.items()) {
            auto const path = pointer + "/" + escape_pointer_token(it.key());
            if (!it.value().is_array()) {
                state.transitions.push_back(parse_transition(it.key(), path));
                continue;
            }
            for (std::size_t n = 0; n < it.value().size(); ++n)
                state.transitions.push_back(
                    parse_transition(it.key(), fmt::format("{}/{}", path, n)));
        }
    }

    chart_transition_text parse_transition(
        std::string const& event, std::string const& pointer)
    {
        chart_transition_text built;
        built.event = {event, document_.position_of(pointer)};
        object_reader reader(document_, pointer, found_);
        built.target = read_name(reader, pointer, "to");
        if (reader.has("guard"))
            built.guard = read_name(reader, pointer, "guard");
        std::vector<std::string> actions;
        reader.text_list("do", actions, presence::optional);
        reader.finish();
        for (std::size_t n = 0; n < actions.size(); ++n)
            built.actions.push_back({actions[n],
                document_.position_of(fmt::format("{}/do/{}", pointer, n))});
        return built;
    }

    json_document const& document_;
    findings& found_;
};

} // namespace

bool chart_text::has_state(std::string_view state) const
{
    return std::any_of(states.begin(), states.end(),
        [&](auto const& it) { return it.name.text == state; });
}

bool chart_text::uses_event(std::string_view event) const
{
    return std::any_of(states.begin(), states.end(), [&](auto const& state) {
        return std::any_of(state.transitions.begin(), state.transitions.end(),
            [&](auto const& it) { return it.event.text == event; });
    });
}

std::vector<chart_name> chart_text::unreachable_states() const
{
    std::set<std::string> reached{initial.text};
    bool changed = true;
    while (changed) {
        changed = false;
        for (auto const& state : states) {
            if (!reached.contains(state.name.text))
                continue;
            for (auto const& it : state.transitions)
                changed |= reached.insert(it.target.text).second;
        }
    }
    std::vector<chart_name> unreachable;
    for (auto const& it : states)
        if (!reached.contains(it.name.text))
            unreachable.push_back(it.name);
    return unreachable;
}

std::optional<chart_text> parse_chart(std::string_view text, findings& found)
{
    auto const before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    auto built = chart_parser(*document, found).parse();
    if (found.items().size() != before)
        return std::nullopt;
    return built;
}

} // namespace pomelohinge
