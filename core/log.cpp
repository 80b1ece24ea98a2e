#include "core/log.hpp"

#include <atomic>
#include <easylogging++.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace pomelohinge {
namespace {

std::atomic<log_format> active_format{log_format::text};
std::atomic<log_level> minimum_level{log_level::warning};

std::string text_line(
    log_event_row const& row, std::initializer_list<log_field> fields)
{
    auto line = fmt::format("[{}] {}", row.number, to_name(row.event));
    for (auto const& it : fields)
        line += fmt::format(" {}={}", it.name, it.value);
    return line;
}

std::string json_line(
    log_event_row const& row, std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line{{"number", row.number},
        {"event", to_name(row.event)}, {"level", to_name(row.level)}};
    for (auto const& it : fields)
        line[std::string(it.name)] = it.value;
    return line.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void write_line(log_level level, std::string const& line)
{
    switch (level) {
    case log_level::debug:
        LOG(DEBUG) << line;
        return;
    case log_level::info:
        LOG(INFO) << line;
        return;
    case log_level::warning:
        LOG(WARNING) << line;
        return;
    case log_level::error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace

void configure_log(log_format format, log_level minimum)
{
    active_format = format;
    minimum_level = minimum;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
        format == log_format::json ? "%msg" : "%datetime %level %msg");
    el::Loggers::reconfigureAllLoggers(settings);
}

void log(log_event event, std::initializer_list<log_field> fields)
{
    auto const& row = catalogue_row(event);
    if (row.level < minimum_level.load(std::memory_order_relaxed))
        return;
    auto const json =
        active_format.load(std::memory_order_relaxed) == log_format::json;
    write_line(
        row.level, json ? json_line(row, fields) : text_line(row, fields));
}

} // namespace pomelohinge
