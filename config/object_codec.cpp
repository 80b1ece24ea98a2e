#include "config/object_codec.hpp"

#include "core/text_map.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>

namespace pomelohinge {
namespace {

constexpr std::size_t max_name_length = 63;
constexpr std::int64_t max_slots = 10'000;
/// Limit on rates and on the weights of a traffic split.
constexpr double max_rate_per_second = 1e6;
constexpr std::int64_t max_burst = 1'000'000;
/// Limit on deadlines, latency objectives and cold periods.
constexpr std::int64_t max_deadline_ms = 10LL * 60 * 1000;
constexpr std::int64_t max_attempts = 16;
constexpr std::int64_t max_priority = 1000;

template <class Tag>
void read_id(object_reader& reader, std::string_view field,
    identifier<Tag>& out, presence expected = presence::required)
{
    std::string text;
    reader.text(field, text, expected);
    if (!reader.has(field))
        return;
    if (!is_object_name(text))
        return reader.add(field, "\"" + text + "\" is not a name");
    out = identifier<Tag>(std::move(text));
}

void read_milliseconds(object_reader& reader, std::string_view field,
    std::chrono::milliseconds& out, std::int64_t low)
{
    std::int64_t value = out.count();
    reader.integer(field, value, low, max_deadline_ms, presence::optional);
    out = std::chrono::milliseconds(value);
}

void read_fields(object_reader& reader, service_object& object)
{
    reader.flag(
        "echoes_request_id", object.echoes_request_id, presence::optional);
    reader.text("health_path", object.health_path, presence::optional);
    if (!object.health_path.starts_with('/'))
        reader.add("health_path", "a path starts with \"/\"");
    read_milliseconds(reader, "cold_ms", object.cold_period, 0);
    reader.number("cold_requests_per_second", object.cold_requests_per_second,
        0, max_rate_per_second, presence::optional);
}

void read_fields(object_reader& reader, data_centre_object& object)
{
    reader.name("state", object.state, presence::optional);
    reader.text("region", object.region, presence::optional);
}

void read_fields(object_reader& reader, target_object& object)
{
    read_id(reader, "service", object.service);
    read_id(reader, "data_centre", object.data_centre);
    reader.text("address", object.address);
    if (reader.has("address") && !is_ip_endpoint(object.address))
        reader.add("address", "an IP:PORT is expected");
    reader.integer("slots", object.slots, 1, max_slots);
    reader.name("wish", object.desired_state, presence::optional);
}

void read_fields(object_reader& reader, floor_object& object)
{
    reader.integer("percent", object.percent, 0, 100);
}

void read_methods(object_reader& reader, route_object& object)
{
    std::vector<std::string> names;
    bool const is_optional = !object.host.empty();
    reader.text_list("methods", names,
        is_optional ? presence::optional : presence::required);
    for (auto const& it : names) {
        if (auto const method = from_name<http_method>(it))
            object.methods.push_back(*method);
        else
            reader.add("methods", "\"" + it + "\" is not a known method");
    }
    if (reader.has("methods") && names.empty())
        reader.add("methods", "at least one method is expected");
}

/// Reads a traffic split, a list of strings of the form `SERVICE:WEIGHT`.
void read_split(object_reader& reader, route_object& object)
{
    std::vector<std::string> parts;
    reader.text_list("split", parts, presence::optional);
    for (auto const& it : parts) {
        auto const colon = it.rfind(':');
        double weight = 0;
        bool const valid = colon != std::string::npos &&
            is_object_name(it.substr(0, colon)) &&
            absl::SimpleAtod(it.substr(colon + 1), &weight) && weight >= 0 &&
            weight <= max_rate_per_second;
        if (valid)
            object.split.push_back({service_id(it.substr(0, colon)), weight});
        else
            reader.add("split", "\"" + it + "\" is not SERVICE:WEIGHT");
    }
}

void read_fields(object_reader& reader, route_object& object)
{
    read_split(reader, object);
    read_id(reader, "service", object.service,
        object.split.empty() ? presence::required : presence::optional);
    reader.text("host", object.host, presence::optional);
    reader.text("path_prefix", object.path_prefix, presence::optional);
    if (!object.path_prefix.starts_with('/'))
        reader.add("path_prefix", "a path starts with \"/\"");
    read_methods(reader, object);
    reader.name("access", object.access, presence::optional);
    reader.name("repeat", object.request_idempotency, presence::optional);
    read_milliseconds(reader, "deadline_ms", object.deadline, 1);
    read_milliseconds(reader, "goal_ms", object.goal, 0);
    reader.integer(
        "attempts", object.attempts, 1, max_attempts, presence::optional);
    reader.integer(
        "priority", object.priority, 0, max_priority, presence::optional);
}

void read_fields(object_reader& reader, correction_object& object)
{
    read_id(reader, "service", object.service);
}

void read_fields(object_reader& reader, organisation_object& object)
{
    reader.text("title", object.title, presence::optional);
    if (!reader.has("priority"))
        return reader.allow("priority");
    std::int64_t priority = 0;
    reader.integer("priority", priority, 0, max_priority);
    object.priority = priority;
}

void read_fields(object_reader& reader, rate_object& object)
{
    constexpr double min_rate_per_second = 0.001;
    reader.number("requests_per_second", object.requests_per_second,
        min_rate_per_second, max_rate_per_second);
    reader.integer("burst", object.burst, 1, max_burst);
}

void read_fields(object_reader& reader, key_object& object)
{
    read_id(reader, "organisation", object.organisation);
    std::string text;
    reader.text("sha256", text);
    if (!reader.has("sha256"))
        return;
    if (auto const hash = key_hash_from_hex(text))
        object.hash = *hash;
    else
        reader.add("sha256", "64 hexadecimal digits are expected");
}

void write_fields(nlohmann::ordered_json& body, service_object const& object)
{
    if (object.echoes_request_id != service_object{}.echoes_request_id)
        body["echoes_request_id"] = object.echoes_request_id;
    if (object.health_path != service_object{}.health_path)
        body["health_path"] = object.health_path;
    if (object.cold_period.count() > 0)
        body["cold_ms"] = object.cold_period.count();
    if (object.cold_requests_per_second > 0)
        body["cold_requests_per_second"] = object.cold_requests_per_second;
}

void write_fields(
    nlohmann::ordered_json& body, data_centre_object const& object)
{
    if (!object.region.empty())
        body["region"] = object.region;
    body["state"] = to_name(object.state);
}

void write_fields(nlohmann::ordered_json& body, target_object const& object)
{
    body["service"] = object.service.text();
    body["data_centre"] = object.data_centre.text();
    body["address"] = object.address;
    body["slots"] = object.slots;
    if (object.desired_state != desired_target_state::serving)
        body["wish"] = to_name(object.desired_state);
}

void write_fields(nlohmann::ordered_json& body, floor_object const& object)
{
    body["percent"] = object.percent;
}

void write_fields(nlohmann::ordered_json& body, route_object const& object)
{
    if (!object.service.empty())
        body["service"] = object.service.text();
    for (auto const& it : object.split)
        body["split"].push_back(
            fmt::format("{}:{}", it.service.text(), it.weight));
    if (!object.host.empty())
        body["host"] = object.host;
    body["path_prefix"] = object.path_prefix;
    for (auto const it : object.methods)
        body["methods"].push_back(to_name(it));
    if (object.access != route_access::keyed)
        body["access"] = to_name(object.access);
    if (object.request_idempotency != idempotency_mode::by_method)
        body["repeat"] = to_name(object.request_idempotency);
    if (object.deadline != route_object{}.deadline)
        body["deadline_ms"] = object.deadline.count();
    if (object.goal.count() > 0)
        body["goal_ms"] = object.goal.count();
    if (object.attempts != route_object{}.attempts)
        body["attempts"] = object.attempts;
    if (object.priority != route_object{}.priority)
        body["priority"] = object.priority;
}

void write_fields(nlohmann::ordered_json& body, correction_object const& object)
{
    body["service"] = object.service.text();
}

void write_fields(
    nlohmann::ordered_json& body, organisation_object const& object)
{
    if (!object.title.empty())
        body["title"] = object.title;
    if (object.priority)
        body["priority"] = *object.priority;
}

void write_fields(nlohmann::ordered_json& body, rate_object const& object)
{
    body["requests_per_second"] = object.requests_per_second;
    body["burst"] = object.burst;
}

void write_fields(nlohmann::ordered_json& body, key_object const& object)
{
    body["organisation"] = object.organisation.text();
    body["sha256"] = to_hex(object.hash);
}

template <std::size_t N = 0>
any_object make_object(object_kind kind)
{
    if (index_of(kind) == N)
        return any_object(std::in_place_index<N>);
    if constexpr (N + 1 < enum_count<object_kind>)
        return make_object<N + 1>(kind);
    else
        return any_object{};
}

} // namespace

std::optional<any_object> decode_object(object_kind kind,
    json_document const& document, std::string const& pointer, findings& found)
{
    auto const before = found.items().size();
    auto object = make_object(kind);
    object_reader reader(document, pointer, found);
    if (!reader.valid())
        return std::nullopt;
    std::visit([&](auto& it) { read_fields(reader, it); }, object);
    reader.finish();
    if (found.items().size() != before)
        return std::nullopt;
    return object;
}

nlohmann::ordered_json encode_object(any_object const& object)
{
    auto body = nlohmann::ordered_json::object();
    std::visit([&](auto const& it) { write_fields(body, it); }, object);
    return body;
}

std::string to_hex(key_hash const& hash)
{
    return absl::BytesToHexString(absl::string_view(
        reinterpret_cast<char const*>(hash.data()), hash.size()));
}

std::optional<key_hash> key_hash_from_hex(std::string_view text)
{
    key_hash hash{};
    if (text.size() != 2 * hash.size() ||
        !std::all_of(text.begin(), text.end(), absl::ascii_isxdigit))
        return std::nullopt;
    auto const bytes = absl::HexStringToBytes(to_absl(text));
    std::copy(bytes.begin(), bytes.end(), hash.begin());
    return hash;
}

bool is_object_name(std::string_view text)
{
    if (text.empty() || text.size() > max_name_length)
        return false;
    auto const is_alphanumeric = [](unsigned char it) {
        return absl::ascii_islower(it) || absl::ascii_isdigit(it);
    };
    return is_alphanumeric(text.front()) &&
        std::all_of(text.begin(), text.end(), [&](unsigned char it) {
            return is_alphanumeric(it) || it == '-' || it == '_';
        });
}

bool is_ip_endpoint(std::string_view text)
{
    std::pair<absl::string_view, absl::string_view> const endpoint =
        absl::StrSplit(to_absl(text), absl::MaxSplits(':', 1));
    int port = 0;
    if (!absl::SimpleAtoi(endpoint.second, &port) || port < 1 || port > 65535)
        return false;
    std::vector<absl::string_view> const octets =
        absl::StrSplit(endpoint.first, '.');
    return octets.size() == 4 &&
        std::all_of(octets.begin(), octets.end(), [](absl::string_view it) {
            int value = 0;
            return it.size() <= 3 && absl::SimpleAtoi(it, &value) &&
                value >= 0 && value <= 255;
        });
}

} // namespace pomelohinge
