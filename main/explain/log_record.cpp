#include "main/explain/log_record.hpp"

#include "core/foreign_json.hpp"

#include <optional>
#include <sstream>

namespace pomelohinge {
namespace {

/// Further findings are not reported, since a log file of another program
/// yields one for each line.
constexpr std::size_t max_findings = 20;

/// Returns the last word before a line's JSON, or `file` if there is none.
std::string parse_source(std::string_view prefix, std::string const& file)
{
    std::istringstream words{std::string(prefix)};
    std::string last = file;
    for (std::string word; words >> word;)
        last = word;
    return last;
}

std::optional<log_record> parse_line(
    std::string_view line, std::string const& file)
{
    auto const begin = line.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    auto fields = parse_foreign_json(line.substr(begin));
    if (!fields.is_object() || !fields.contains("event") ||
        !fields["event"].is_string() || !fields.contains("time_ms") ||
        !fields["time_ms"].is_number_integer())
        return std::nullopt;
    auto const event =
        from_name<log_event>(fields["event"].get_ref<std::string const&>());
    if (!event)
        return std::nullopt;
    log_record record;
    record.time_ms = fields["time_ms"];
    record.source = parse_source(line.substr(0, begin), file);
    record.event = *event;
    record.fields = std::move(fields);
    return record;
}

} // namespace

std::string log_record::text(char const* field) const
{
    auto const it = fields.find(field);
    if (it == fields.end())
        return {};
    return it->is_string() ? it->get<std::string>() : it->dump();
}

double log_record::number(char const* field) const
{
    auto const it = fields.find(field);
    return it != fields.end() && it->is_number() ? it->get<double>() : 0;
}

std::vector<log_record> read_log_records(std::string_view text, findings& found)
{
    std::vector<log_record> records;
    std::size_t number = 0;
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty())
            continue;
        auto record = parse_line(line, found.source());
        if (!record) {
            if (found.items().size() < max_findings)
                found.add({number, 1}, "", "not a line of a daemon's log");
            continue;
        }
        record->line = number;
        records.push_back(std::move(*record));
    }
    return records;
}

} // namespace pomelohinge
