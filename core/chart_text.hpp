#ifndef POMELOHINGE_CORE_CHART_TEXT_HPP
#define POMELOHINGE_CORE_CHART_TEXT_HPP

#include "core/findings.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// A name in a chart file and its position there.
struct chart_name
{
    std::string text;
    text_position position;
};

/// A transition as written in the file:
/// `"event": {"to": …, "guard": …, "do": […]}`.
struct chart_transition_text
{
    chart_name event;
    chart_name target;
    std::optional<chart_name> guard;
    std::vector<chart_name> actions;
};

/// A state as written in the file.
struct chart_state_text
{
    chart_name name;
    bool is_final = false;
    std::chrono::milliseconds timeout_after{0};
    std::optional<chart_name> timeout_event;
    std::vector<chart_transition_text> transitions;
};

/// The contents of a chart file before names are resolved to enumerators.
struct chart_text
{
    std::string name;
    chart_name initial;
    std::vector<chart_state_text> states;

    bool has_state(std::string_view state) const;
    bool uses_event(std::string_view event) const;
    /// States that no sequence of transitions reaches from the initial state.
    std::vector<chart_name> unreachable_states() const;
};

/// Parses a chart file. Syntax and structure errors are added to `found`; the
/// result is empty if there are any.
std::optional<chart_text> parse_chart(std::string_view text, findings& found);

} // namespace pomelohinge

#endif
