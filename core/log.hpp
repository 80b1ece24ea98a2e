#ifndef POMELOHINGE_CORE_LOG_HPP
#define POMELOHINGE_CORE_LOG_HPP

#include "core/log_event.hpp"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace pomelohinge {

/// The name of a field of a log line. A name that every line already has does
/// not compile, since a reader would see only one of the two values.
class log_field_name
{
public:
    consteval log_field_name(char const* text) : text_(text)
    {
        for (std::string_view const it :
            {"time_ms", "number", "event", "level"})
            if (text_ == it)
                throw "the name is reserved";
    }

    std::string_view text() const { return text_; }

private:
    std::string_view text_;
};

/// A named value in a log line. Keys of organisations must never be logged,
/// not even as hashes.
struct log_field
{
    std::string_view name;
    std::string value;
    bool is_number = false;

    log_field(log_field_name field, std::string_view text)
        : name(field.text()), value(text)
    {
    }

    template <class Number>
        requires std::is_arithmetic_v<Number> log_field(
            log_field_name field, Number number)
            : name(field.text()), value(std::to_string(number)), is_number(true)
        {
        }
};

/// Format of log lines.
enum class log_format { text, json };

template <>
inline constexpr auto name_table<log_format> = make_name_table<log_format>({
    {log_format::text, "text"},
    {log_format::json, "json"},
});
static_assert(is_ordered<log_format>());

/// Format and limits of the log.
struct log_settings
{
    log_format format = log_format::text;
    log_level level = log_level::info;
    /// Rate and burst of the token bucket that limits the lines of each event
    /// and thread. Lines over the limit are dropped and counted; lines of level
    /// `error` are not limited.
    double lines_per_second = 60;
    double burst = 200;
};

/// Starts logging to standard output. Must be called once, before other
/// threads are started.
void configure_log(log_settings settings);

/// Sets the lowest level that is logged. Safe to call from any thread.
void set_log_level(log_level level);

/// Writes the pending lines and ends the writer thread. Returns false if
/// standard output takes no more within `limit`; the thread is then still
/// blocked, and the process may only be left without destroying static objects.
bool shutdown_log(std::chrono::milliseconds limit);

/// Logs one event. Safe to call from any thread and never blocks: the line is
/// added to a ring buffer of the calling thread, which a writer thread drains.
/// The line is dropped and counted if the ring is full or the rate limit of the
/// event is exceeded.
void log(log_event event, std::initializer_list<log_field> fields = {});

/// Number of lines of `event` dropped since the process started.
std::uint64_t dropped_lines(log_event event);

/// Number of lines of all events dropped since the process started.
std::uint64_t dropped_lines();

} // namespace pomelohinge

#endif
