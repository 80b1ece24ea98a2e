#ifndef POMELOHINGE_CORE_LOG_HPP
#define POMELOHINGE_CORE_LOG_HPP

#include "core/log_event.hpp"

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

    log_field(std::string_view field, std::string_view text)
        : name(field), value(text)
    {
    }

    template <class Number>
        requires std::is_arithmetic_v<Number> log_field(
            std::string_view field, Number number)
            : name(field), value(std::to_string(number))
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

/// Sets up logging to standard error. Call once, before other threads run.
void configure_log(log_format format, log_level minimum);

/// Writes one event. Safe from every thread.
void log(log_event event, std::initializer_list<log_field> fields = {});

} // namespace pomelohinge

#endif
