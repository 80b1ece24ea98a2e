#include "config/settings.hpp"

#include "config/object_codec.hpp"
#include "core/object_reader.hpp"

#include <fmt/format.h>

namespace pomelohinge {
namespace {

constexpr std::int64_t maximum_traffic_threads = 64;
constexpr std::int64_t smallest_body_limit = 1024;
constexpr std::int64_t largest_body_limit = 16 << 20;
constexpr std::int64_t longest_stop_limit_ms = 10LL * 60 * 1000;

template <class Tag>
void read_name(
    object_reader& reader, std::string_view field, identifier<Tag>& out)
{
    std::string text;
    reader.text(field, text);
    if (reader.has(field) && !is_object_name(text))
        reader.add(field, "\"" + text + "\" is not a name");
    out = identifier<Tag>(std::move(text));
}

void read_address(
    object_reader& reader, std::string_view field, std::string& out)
{
    reader.text(field, out);
    if (reader.has(field) && !is_ip_endpoint(out))
        reader.add(field, "an IP:PORT is expected");
}

void read_seeds(object_reader& reader, settings& out)
{
    reader.texts("seeds", out.seeds, presence::optional);
    for (auto const& it : out.seeds)
        if (!is_ip_endpoint(it))
            reader.add("seeds", "\"" + it + "\" is not an IP:PORT");
}

void read_log(json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/log", found);
    reader.name("format", out.format, presence::optional);
    reader.name("level", out.level, presence::optional);
    reader.finish();
}

void read_limits(json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/limits", found);
    reader.integer("request_body_bytes", out.request_body_bytes,
        smallest_body_limit, largest_body_limit, presence::optional);
    reader.integer("answer_body_bytes", out.answer_body_bytes,
        smallest_body_limit, largest_body_limit, presence::optional);
    std::int64_t stop_limit_ms = out.stop_limit.count();
    reader.integer("stop_limit_ms", stop_limit_ms, 0, longest_stop_limit_ms,
        presence::optional);
    out.stop_limit = std::chrono::milliseconds(stop_limit_ms);
    reader.finish();
}

} // namespace

std::optional<settings> parse_settings(std::string_view text, findings& found)
{
    auto const before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    settings out;
    object_reader reader(*document, "", found);
    if (!reader.valid())
        return std::nullopt;
    read_name(reader, "vm", out.vm);
    read_name(reader, "data_centre", out.data_centre);
    read_address(reader, "callers_address", out.callers_address);
    read_address(reader, "peers_address", out.peers_address);
    read_address(reader, "operators_address", out.operators_address);
    read_address(reader, "platform_address", out.platform_address);
    read_seeds(reader, out);
    reader.integer("traffic_threads", out.traffic_threads, 1,
        maximum_traffic_threads, presence::optional);
    reader.accept("log");
    reader.accept("limits");
    reader.finish();
    if (reader.has("log"))
        read_log(*document, found, out);
    if (reader.has("limits"))
        read_limits(*document, found, out);
    if (found.items().size() != before)
        return std::nullopt;
    return out;
}

} // namespace pomelohinge
