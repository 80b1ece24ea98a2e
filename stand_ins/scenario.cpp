#include "stand_ins/scenario.hpp"

#include "core/object_reader.hpp"

#include <fmt/format.h>
#include <limits>

namespace pomelohinge::stand_ins {
namespace {

constexpr double longest_run_s = 24 * 3600;
constexpr double highest_rate = 1e6;
constexpr std::int64_t longest_deadline_ms = 600'000;
constexpr std::int64_t largest_body = 64 << 20;

tenant read_tenant(
    json_document const& document, std::string const& pointer, findings& found)
{
    tenant it;
    object_reader reader(document, pointer, found);
    reader.text("organisation", it.organisation);
    reader.text("key", it.key, presence::optional);
    reader.text("service", it.service);
    reader.text("path", it.path);
    reader.text("method", it.method, presence::optional);
    reader.number(
        "requests_per_second", it.requests_per_second, 0.001, highest_rate);
    reader.flag("payments", it.payments, presence::optional);
    reader.flag("repeats", it.repeats, presence::optional);
    reader.flag("ignores_entries", it.ignores_entries, presence::optional);
    reader.integer("deadline_ms", it.deadline_ms, 1, longest_deadline_ms,
        presence::optional);
    reader.integer(
        "body_bytes", it.body_bytes, 0, largest_body, presence::optional);
    reader.finish();
    return it;
}

} // namespace

std::optional<scenario> parse_scenario(std::string_view text, findings& found)
{
    auto const before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    scenario read;
    object_reader reader(*document, "", found);
    reader.integer("seed", read.seed, 0,
        std::numeric_limits<std::int64_t>::max(), presence::optional);
    reader.number("duration_s", read.duration_s, 0.1, longest_run_s);
    reader.number(
        "warm_up_s", read.warm_up_s, 0, longest_run_s, presence::optional);
    reader.text_list("entries", read.entries);
    reader.text_list("ledgers", read.ledgers, presence::optional);
    reader.allow("tenants");
    reader.finish();
    auto const tenants = document->value.find("tenants");
    if (tenants == document->value.end() || !tenants->is_array())
        reader.add("tenants", "a list of tenants is expected");
    else
        for (std::size_t n = 0; n < tenants->size(); ++n)
            read.tenants.push_back(
                read_tenant(*document, fmt::format("/tenants/{}", n), found));
    if (found.items().size() != before)
        return std::nullopt;
    return read;
}

} // namespace pomelohinge::stand_ins
