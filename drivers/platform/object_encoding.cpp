#include "drivers/platform/object_encoding.hpp"

#include "core/foreign_json.hpp"
#include "core/latin1.hpp"
#include "core/object_reader.hpp"

#include <absl/strings/escaping.h>
#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <xxhash.h>

namespace pomelohinge {
namespace {

/// Limit on the changes in one part. Even with the longest names, a part stays
/// well below the platform's limit of one megabyte.
constexpr std::size_t max_changes_per_part = 2000;

constexpr double max_cores = 1e6;
constexpr double max_link_mbps = 1e9;

std::string to_base64(std::string const& bytes)
{
    return absl::Base64Escape(bytes);
}

bool from_base64(std::string const& text, std::string& bytes)
{
    return absl::Base64Unescape(text, &bytes);
}

std::string to_hexadecimal(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

std::uint64_t from_hexadecimal(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

} // namespace

std::string journal_entry_name(std::uint64_t version)
{
    return fmt::format("{}{:010}", journal_prefix, version);
}

std::string entry_part_name(std::string const& write_id, std::size_t part)
{
    return fmt::format("config/body/{}/{:04}", write_id, part);
}

std::string vm_name(vm_id const& vm)
{
    return std::string(vms_prefix) + vm.text();
}

std::string record_name(idempotency_record const& record)
{
    auto const& key = record.idempotency_key;
    auto const hash = XXH3_128bits(key.data(), key.size());
    return fmt::format("records/{}/{:016x}{:016x}", record.organisation,
        hash.high64, hash.low64);
}

std::vector<std::string> split_entry(journal_entry const& entry)
{
    std::vector<std::string> parts;
    auto part = entry;
    auto it = entry.changes.begin();
    do {
        auto const left = static_cast<std::size_t>(entry.changes.end() - it);
        auto const end = it +
            static_cast<std::ptrdiff_t>(std::min(left, max_changes_per_part));
        part.changes.assign(it, end);
        parts.push_back(encode_journal_entry(part));
        it = end;
    } while (it != entry.changes.end());
    return parts;
}

std::string encode_split_reference(
    journal_entry const& entry, std::size_t parts)
{
    return nlohmann::ordered_json{{"version", entry.version},
        {"write_id", entry.write_id}, {"parts", parts}}
        .dump();
}

std::optional<split_reference> decode_split_reference(std::string_view value)
{
    auto const body = parse_foreign_json(value);
    if (!body.is_object() || !body.contains("parts"))
        return std::nullopt;
    for (auto const* field : {"version", "parts"})
        if (!body.contains(field) || !body.at(field).is_number_unsigned())
            return std::nullopt;
    if (!body.contains("write_id") || !body.at("write_id").is_string())
        return std::nullopt;
    return split_reference{body.at("version").get<std::uint64_t>(),
        body.at("write_id").get<std::string>(),
        body.at("parts").get<std::size_t>()};
}

std::string encode_vm(vm_record const& vm)
{
    return nlohmann::ordered_json{{"vm", vm.vm.text()},
        {"data_centre", vm.data_centre.text()}, {"peers", vm.peers_address},
        {"callers", vm.callers_address}, {"cores", vm.cores},
        {"link_mbps", vm.link_mbps}}
        .dump();
}

std::optional<vm_record> decode_vm(std::string_view text, findings& found)
{
    auto const errors_before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    vm_record vm;
    std::string name;
    std::string data_centre;
    object_reader reader(*document, "", found);
    reader.text("vm", name);
    reader.text("data_centre", data_centre);
    reader.text("peers", vm.peers_address);
    reader.text("callers", vm.callers_address);
    reader.number("cores", vm.cores, 0, max_cores);
    reader.number("link_mbps", vm.link_mbps, 0, max_link_mbps);
    reader.finish();
    vm.vm = vm_id(std::move(name));
    vm.data_centre = data_centre_id(std::move(data_centre));
    if (found.items().size() != errors_before)
        return std::nullopt;
    return vm;
}

std::string encode_record(idempotency_record const& record)
{
    return nlohmann::ordered_json{
        {"print", to_hexadecimal(record.request_fingerprint)},
        {"writer", to_hexadecimal(record.writer)},
        {"state", to_name(record.state)}, {"ends_at_ms", record.ends_at_ms},
        {"status", record.answer.status},
        {"content_type", latin1_to_utf8(record.answer.content_type)},
        {"body", to_base64(record.answer.body)}}
        .dump();
}

std::optional<idempotency_record> decode_record(
    std::string_view text, findings& found)
{
    auto const errors_before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    idempotency_record record;
    std::string fingerprint_text;
    std::string writer_text;
    std::string content_type;
    std::string body;
    std::int64_t status = 0;
    constexpr auto max_ends_at_ms = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t max_status = 999;
    object_reader reader(*document, "", found);
    reader.text("print", fingerprint_text);
    // Absent in records of earlier versions.
    reader.text("writer", writer_text, presence::optional);
    reader.name("state", record.state);
    reader.integer("ends_at_ms", record.ends_at_ms, 0, max_ends_at_ms);
    reader.integer("status", status, 0, max_status);
    reader.text("content_type", content_type);
    reader.text("body", body);
    reader.finish();
    record.request_fingerprint = from_hexadecimal(fingerprint_text);
    record.writer = from_hexadecimal(writer_text);
    record.answer.status = static_cast<int>(status);
    if (auto type = utf8_to_latin1(content_type))
        record.answer.content_type = std::move(*type);
    else
        reader.add("content_type", "characters of ISO 8859-1 are expected");
    if (!from_base64(body, record.answer.body))
        reader.add("body", "base64 is expected");
    if (found.items().size() != errors_before)
        return std::nullopt;
    return record;
}

} // namespace pomelohinge
