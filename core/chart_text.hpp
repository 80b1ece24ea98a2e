#ifndef POMELOHINGE_CORE_CHART_TEXT_HPP
#define POMELOHINGE_CORE_CHART_TEXT_HPP

#include "core/findings.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// A name in a chart file and where it stands.
struct chart_name
{
    std::string text;
    text_position position;
};

/// A row as the file has it: `"event": {"to": …, "guard": …, "do": […]}`.
struct chart_row_text
{
    chart_name event;
    chart_name target;
    std::optional<chart_name> guard;
    std::vector<chart_name> actions;
};

/// A state as the file has it.
struct chart_state_text
{
    chart_name name;
    bool is_final = false;
    std::chrono::milliseconds timeout_after{0};
    std::optional<chart_name> timeout_event;
    std::vector<chart_row_text> rows;
};

/// A chart file before its names are bound to code.
struct chart_text
{
    std::string name;
    chart_name initial;
    std::vector<chart_state_text> states;

    bool has_state(std::string_view state) const;
    bool uses_event(std::string_view event) const;
    /// States that no sequence of rows leads to from the initial state.
    std::vector<chart_name> unreachable_states() const;
};

/// Reads a chart file. Problems of form are added to `found`; the result is
/// empty if there was any.
std::optional<chart_text> parse_chart(std::string_view text, findings& found);

} // namespace pomelohinge

#endif
