#include "config/settings.hpp"

#include "config/object_codec.hpp"
#include "core/object_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace pomelohinge {
namespace {

constexpr std::int64_t max_traffic_threads = 64;
constexpr std::int64_t min_body_limit_bytes = 1024;
constexpr std::int64_t max_body_limit_bytes = 16 << 20;
constexpr std::int64_t min_buffer_bytes = 1 << 20;
constexpr std::int64_t max_buffer_bytes = std::int64_t{1} << 40;
/// Share of the memory that buffers have if the settings do not say.
constexpr double buffer_memory_share = 0.25;
constexpr std::int64_t max_stop_timeout_ms = 10LL * 60 * 1000;
constexpr double max_bound_seconds = 3600;
/// Limit on the rate of log lines and on their burst.
constexpr double max_lines_per_second = 1e6;
constexpr double max_retry_extra = 1e6;
constexpr double max_exposure_extra = 1e6;
/// Reports and decisions need about two seconds from a bad answer to the last
/// VM that stops; less cannot be promised.
constexpr double min_rollback_s = 4;
/// Limits on the number of cores and on the share of them that is used.
constexpr double min_cores = 0.01;
constexpr double max_cores = 1024;
constexpr double min_link_mbps = 0.1;
constexpr double max_link_mbps = 1e6;
constexpr double min_memory_mb = 32;
/// Limits on the budget for reports to other data centres. With less than the
/// minimum nothing but the headers would be sent.
constexpr double min_remote_bytes = 1000;
constexpr double max_price_per_mb = 1e6;
constexpr std::int64_t min_transfer_period_ms = 50;
constexpr std::int64_t max_transfer_period_ms = 10'000;
constexpr double max_remote_bytes = 1e9;
constexpr double max_memory_mb = 1e6;

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

/// Seeds only help a start without the store, so one that cannot be used is
/// left out.
void read_seeds(object_reader& reader, settings& out)
{
    reader.text_list("seeds", out.seeds, presence::optional);
    std::erase_if(out.seeds, [&](std::string const& it) {
        if (is_ip_endpoint(it))
            return false;
        out.adjustments.push_back(
            "/seeds: \"" + it + "\" is not an IP:PORT and is left out");
        return true;
    });
}

/// Closed range of a number.
struct number_range
{
    double low;
    double high;
};

/// Reads a number that describes the machine or the platform. One that is out
/// of range does not keep the VM from starting: the nearest one in range is
/// used.
void read_number(object_reader& reader, std::string_view field, double& out,
    number_range range, settings& adjusted)
{
    constexpr auto largest = std::numeric_limits<double>::max();
    double value = out;
    reader.number(field, value, -largest, largest, presence::optional);
    out = std::clamp(value, range.low, range.high);
    if (out != value)
        adjusted.adjustments.push_back(
            fmt::format("/{}: {} is read as {}", field, value, out));
}

/// As above, but 0 or less stands for an unknown value, as if the field were
/// absent.
void read_capacity(object_reader& reader, std::string_view field, double& out,
    number_range range, settings& adjusted)
{
    double const unknown = out;
    double value = out;
    read_number(reader, field, value, {0, range.high}, adjusted);
    out = value > 0 ? std::max(value, range.low) : unknown;
    if (value <= 0 && reader.has(field))
        adjusted.adjustments.push_back(
            fmt::format("/{}: 0 counts as unknown", field));
}

void read_optional_address(
    object_reader& reader, std::string_view field, std::string& out)
{
    if (reader.has(field))
        return read_address(reader, field, out);
    reader.allow(field);
}

/// Leaves out an optional address that the VM needs for something else.
void leave_out_taken_addresses(settings& out)
{
    std::set<std::string_view> taken{out.callers_address, out.peers_address};
    std::pair<std::string_view, std::string&> const optional_addresses[] = {
        {"readiness_address", out.readiness_address},
        {"directory_address", out.directory_address},
        {"operators_address", out.operators_address},
    };
    for (auto& [field, address] : optional_addresses) {
        if (address.empty() || taken.insert(address).second)
            continue;
        out.adjustments.push_back(fmt::format(
            "/{}: {} has another use and is left out", field, address));
        address.clear();
    }
}

void read_log(json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/log", found);
    reader.name("format", out.logs.format, presence::optional);
    reader.name("level", out.logs.level, presence::optional);
    reader.number("lines_per_second", out.logs.lines_per_second, 0,
        max_lines_per_second, presence::optional);
    reader.number(
        "burst", out.logs.burst, 1, max_lines_per_second, presence::optional);
    reader.finish();
}

void read_machine(json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/machine", found);
    double share = 1;
    read_capacity(reader, "cores", out.cores, {min_cores, max_cores}, out);
    read_capacity(reader, "core_share", share, {min_cores, max_cores}, out);
    out.cores *= share;
    read_capacity(reader, "link_mbps", out.link_mbps,
        {min_link_mbps, max_link_mbps}, out);
    read_capacity(reader, "memory_mb", out.memory_mb,
        {min_memory_mb, max_memory_mb}, out);
    constexpr double bytes_per_mb = 1e6;
    if (out.memory_mb > 0)
        out.buffer_bytes = static_cast<std::int64_t>(
            out.memory_mb * bytes_per_mb * buffer_memory_share);
    reader.finish();
}

void read_seconds(object_reader& reader, std::string_view field, duration& out,
    double min_seconds, settings& adjusted)
{
    double seconds = to_seconds(out);
    read_number(
        reader, field, seconds, {min_seconds, max_bound_seconds}, adjusted);
    out = from_seconds(seconds);
}

void read_bounds(json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/bounds", found);
    auto& it = out.bounds;
    bool strict = true;
    reader.flag("strict_revocation", strict, presence::optional);
    read_seconds(reader, "revocation_s", it.max_revocation_delay, 0, out);
    if (!strict)
        it.max_revocation_delay = duration::zero();
    read_number(reader, "retry_ratio", it.retry_ratio, {0, 10}, out);
    read_seconds(reader, "retry_window_s", it.retry_window, 1, out);
    read_number(
        reader, "retry_extra", it.retry_extra, {0, max_retry_extra}, out);
    read_number(reader, "floor", it.floor, {0, 1}, out);
    reader.finish();
}

void read_rollouts(
    json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/rollouts", found);
    auto& it = out.rollouts.emplace();
    read_number(reader, "exposure_share", it.exposure_share, {0, 1}, out);
    read_number(reader, "exposure_extra", it.exposure_extra,
        {0, max_exposure_extra}, out);
    read_seconds(reader, "rollback_s", it.rollback, min_rollback_s, out);
    reader.finish();
}

void read_exchange(
    json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/exchange", found);
    auto& budget = out.remote_bytes_per_second;
    read_number(
        reader, "remote_bytes_per_s", budget, {0, max_remote_bytes}, out);
    if (budget > 0 && budget < min_remote_bytes) {
        out.adjustments.push_back(fmt::format(
            "/remote_bytes_per_s: {} is read as {}", budget, min_remote_bytes));
        budget = min_remote_bytes;
    }
    reader.finish();
}

void read_transfer(
    json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/transfer", found);
    transfer_settings it;
    read_number(
        reader, "price_per_mb", it.price_per_mb, {0, max_price_per_mb}, out);
    std::int64_t period_ms = to_milliseconds(it.period);
    reader.integer("period_ms", period_ms, min_transfer_period_ms,
        max_transfer_period_ms, presence::optional);
    it.period = std::chrono::milliseconds(period_ms);
    reader.finish();
    out.transfers = it;
}

void read_limits(json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/limits", found);
    reader.integer("request_body_bytes", out.request_body_bytes,
        min_body_limit_bytes, max_body_limit_bytes, presence::optional);
    reader.integer("answer_body_bytes", out.answer_body_bytes,
        min_body_limit_bytes, max_body_limit_bytes, presence::optional);
    reader.integer("buffer_bytes", out.buffer_bytes, min_buffer_bytes,
        max_buffer_bytes, presence::optional);
    duration stop_timeout = out.stop_timeout;
    read_seconds(reader, "stop_s", stop_timeout, 0, out);
    std::int64_t stop_limit_ms = to_milliseconds(stop_timeout);
    reader.integer("stop_limit_ms", stop_limit_ms, 0, max_stop_timeout_ms,
        presence::optional);
    out.stop_timeout = std::chrono::milliseconds(stop_limit_ms);
    reader.finish();
}

void read_placement(
    json_document const& document, findings& found, settings& out)
{
    object_reader reader(document, "/placement", found);
    reader.name("mode", out.placement.mode, presence::optional);
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
    read_address(reader, "platform_address", out.platform_address);
    read_seeds(reader, out);
    read_optional_address(reader, "readiness_address", out.readiness_address);
    read_optional_address(reader, "directory_address", out.directory_address);
    read_optional_address(reader, "operators_address", out.operators_address);
    leave_out_taken_addresses(out);
    reader.integer("traffic_threads", out.traffic_threads, 1,
        max_traffic_threads, presence::optional);
    for (auto const* it : {"log", "limits", "machine", "bounds", "exchange",
             "placement", "transfer", "rollouts"})
        reader.allow(it);
    reader.finish();
    if (reader.has("log"))
        read_log(*document, found, out);
    if (reader.has("machine"))
        read_machine(*document, found, out);
    if (reader.has("limits"))
        read_limits(*document, found, out);
    if (reader.has("bounds"))
        read_bounds(*document, found, out);
    if (reader.has("rollouts"))
        read_rollouts(*document, found, out);
    if (reader.has("exchange"))
        read_exchange(*document, found, out);
    if (reader.has("placement"))
        read_placement(*document, found, out);
    if (reader.has("transfer"))
        read_transfer(*document, found, out);
    if (found.items().size() != before)
        return std::nullopt;
    return out;
}

} // namespace pomelohinge
