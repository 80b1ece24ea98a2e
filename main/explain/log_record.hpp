#ifndef POMELOHINGE_MAIN_EXPLAIN_LOG_RECORD_HPP
#define POMELOHINGE_MAIN_EXPLAIN_LOG_RECORD_HPP

#include "core/findings.hpp"
#include "core/log_event.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pomelohinge {

/// One parsed line of a daemon's log.
struct log_record
{
    /// The time at which the line was written, in milliseconds since 1970.
    std::int64_t time_ms = 0;
    /// The writer of the line: the last word before the line's JSON, which is
    /// where log collectors put it, or else the name of the file.
    std::string source;
    log_event event = log_event::started;
    nlohmann::json fields;
    /// The number of the line in its file, from 1.
    std::size_t line = 0;

    /// Returns a field as text, or an empty text if it is absent.
    std::string text(char const* field) const;

    /// Returns a field as a number, or 0 if it is absent or not a number.
    double number(char const* field) const;
};

/// Parses the lines of `text` in their order. For each line that is truncated
/// or not in the log format a finding is added to `found`, whose source is the
/// name of the file; the other lines are still returned.
std::vector<log_record> read_log_records(
    std::string_view text, findings& found);

} // namespace pomelohinge

#endif
