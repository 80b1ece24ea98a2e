#include "main/explain/log_record.hpp"

#include <optional>
#include <sstream>

namespace pomelohinge {
namespace {

/// Findings beyond this are left out: a file of another program has one for
/// each line.
constexpr std::size_t most_findings = 20;

std::string source_before(std::string_view prefix, std::string const& file)
{
    std::istringstream words{std::string(prefix)};
    std::string last = file;
    for (std::string word; words >> word;)
        last = word;
    return last;
}

std::optional<log_record> read_line(
    std::string_view line, std::string const& file)
{
    auto const begin = line.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    auto fields = nlohmann::json::parse(line.substr(begin), nullptr, false);
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
    record.source = source_before(line.substr(0, begin), file);
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
        auto record = read_line(line, found.source());
        if (!record) {
            if (found.items().size() < most_findings)
                found.add({number, 1}, "", "this is no line of a daemon's log");
            continue;
        }
        record->line = number;
        records.push_back(std::move(*record));
    }
    return records;
}

} // namespace pomelohinge
