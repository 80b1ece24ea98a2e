#ifndef POMELOHINGE_MAIN_EXPLAIN_LOG_RECORD_HPP
#define POMELOHINGE_MAIN_EXPLAIN_LOG_RECORD_HPP

#include "core/findings.hpp"
#include "core/log_event.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pomelohinge {

/// One line of a daemon's log, read back.
struct log_record
{
    /// Time of day at which it was written, in milliseconds since 1970.
    std::int64_t time_ms = 0;
    /// What wrote it: the last word before the line's JSON, as log collectors
    /// put it there, or the name of the file.
    std::string source;
    log_event event = log_event::started;
    nlohmann::json fields;
    std::size_t line = 0;

    /// A field as text; empty if absent.
    std::string text(char const* field) const;

    /// A field as a number; zero if absent or no number.
    double number(char const* field) const;
};

/// Reads the lines of `text`, in their order. Lines that are cut off or of
/// another writer are added to `found`, whose source is the file's name; the
/// others are read all the same.
std::vector<log_record> read_log_records(
    std::string_view text, findings& found);

} // namespace pomelohinge

#endif
