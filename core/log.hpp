#ifndef POMELOHINGE_CORE_LOG_HPP
#define POMELOHINGE_CORE_LOG_HPP

#include "core/log_event.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace pomelohinge {

/// A named value of a log line. Keys of organisations are never logged, not
/// even as hashes.
struct log_field
{
    std::string_view name;
    std::string value;
    bool is_number = false;

    log_field(std::string_view field, std::string_view text)
        : name(field), value(text)
    {
    }

    template <class Number>
        requires std::is_arithmetic_v<Number> log_field(
            std::string_view field, Number number)
            : name(field), value(std::to_string(number)), is_number(true)
        {
        }
};

/// The form of log lines.
enum class log_format { text, json };

template <>
inline constexpr auto name_table<log_format> = make_name_table<log_format>({
    {log_format::text, "text"},
    {log_format::json, "json"},
});
static_assert(is_ordered<log_format>());

/// How much is logged.
struct log_settings
{
    log_format format = log_format::text;
    log_level level = log_level::info;
    /// Lines a second of each event and thread; more are dropped and
    /// counted. Errors have no limit.
    double lines_per_second = 60;
    double burst = 200;
};

/// Sets up logging to standard output. Call once, before other threads run.
void configure_log(log_settings configured);

/// Changes what is logged; safe from every thread.
void set_log_level(log_level minimum);

/// Writes what is waiting and ends the writer.
void shutdown_log();

/// Logs one event. Safe from every thread, and waits for nothing: the line
/// goes into a ring of the calling thread, from which a writer takes it, and
/// is dropped and counted if the ring is full or the event's budget is used
/// up.
void log(log_event event, std::initializer_list<log_field> fields = {});

/// Lines of `event` that were dropped since the process started.
std::uint64_t dropped_lines(log_event event);
std::uint64_t dropped_lines();

} // namespace pomelohinge

#endif
