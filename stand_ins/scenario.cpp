#include "stand_ins/scenario.hpp"

#include "core/object_reader.hpp"

#include <fmt/format.h>
#include <limits>

namespace pomelohinge::stand_ins {
namespace {

constexpr double max_duration_s = 24 * 3600;
constexpr double max_requests_per_second = 1e6;
constexpr std::int64_t max_deadline_ms = 600'000;
constexpr std::int64_t max_body_bytes = 64 << 20;

caller_group read_group(
    json_document const& document, std::string const& pointer, findings& found)
{
    caller_group it;
    object_reader reader(document, pointer, found);
    reader.text("organisation", it.organisation);
    reader.text("key", it.key, presence::optional);
    reader.text("service", it.service);
    reader.text("path", it.path);
    reader.text("method", it.method, presence::optional);
    reader.number("requests_per_second", it.requests_per_second, 0.001,
        max_requests_per_second);
    reader.flag("payments", it.payments, presence::optional);
    reader.flag("repeats", it.idempotent_payments, presence::optional);
    reader.flag("retries_refused", it.retries_refused, presence::optional);
    reader.flag("ignores_entries", it.ignores_entries, presence::optional);
    reader.integer(
        "deadline_ms", it.deadline_ms, 1, max_deadline_ms, presence::optional);
    reader.integer(
        "body_bytes", it.body_bytes, 0, max_body_bytes, presence::optional);
    reader.finish();
    return it;
}

} // namespace

std::optional<scenario> parse_scenario(std::string_view text, findings& found)
{
    auto const findings_before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    scenario result;
    object_reader reader(*document, "", found);
    reader.integer("seed", result.seed, 0,
        std::numeric_limits<std::int64_t>::max(), presence::optional);
    reader.number("duration_s", result.duration_s, 0.1, max_duration_s);
    reader.number(
        "warm_up_s", result.warm_up_s, 0, max_duration_s, presence::optional);
    reader.text_list("entries", result.entries);
    reader.text_list("ledgers", result.ledgers, presence::optional);
    reader.allow("tenants");
    reader.finish();
    auto const tenants = document->value.find("tenants");
    if (tenants == document->value.end() || !tenants->is_array())
        reader.add("tenants", "a list of tenants is expected");
    else
        for (std::size_t n = 0; n < tenants->size(); ++n)
            result.groups.push_back(
                read_group(*document, fmt::format("/tenants/{}", n), found));
    if (found.items().size() != findings_before)
        return std::nullopt;
    return result;
}

} // namespace pomelohinge::stand_ins
