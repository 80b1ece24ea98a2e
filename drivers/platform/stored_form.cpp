#include "drivers/platform/stored_form.hpp"

#include "core/object_reader.hpp"

#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace pomelohinge {
namespace {

constexpr std::string_view journal_prefix = "config/journal/";
constexpr std::string_view view_prefix = "views/";

/// Changes in one part; with the longest names a part stays well below the
/// platform's limit of a megabyte.
constexpr std::size_t changes_per_part = 2000;

std::string hexadecimal(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

std::uint64_t from_hexadecimal(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

vm_record read_vm(
    json_document const& document, std::string const& pointer, findings& found)
{
    vm_record record;
    std::string vm;
    std::string incarnation;
    object_reader reader(document, pointer, found);
    reader.text("vm", vm);
    reader.text("peers", record.peers_address);
    reader.text("callers", record.callers_address);
    reader.text("incarnation", incarnation);
    reader.name("standing", record.standing);
    reader.finish();
    record.vm = vm_id(std::move(vm));
    record.incarnation = from_hexadecimal(incarnation);
    return record;
}

} // namespace

std::string journal_name(std::uint64_t version)
{
    return fmt::format("{}{:010}", journal_prefix, version);
}

std::string part_name(std::string const& write_id, std::size_t part)
{
    return fmt::format("config/body/{}/{:04}", write_id, part);
}

std::string view_name(data_centre_id const& data_centre)
{
    return std::string(view_prefix) + data_centre.text();
}

bool is_journal(std::string_view name)
{
    return name.starts_with(journal_prefix);
}

bool is_view(std::string_view name)
{
    return name.starts_with(view_prefix);
}

std::vector<std::string> split_entry(journal_entry const& entry)
{
    std::vector<std::string> parts;
    auto part = entry;
    auto it = entry.changes.begin();
    do {
        auto const left = static_cast<std::size_t>(entry.changes.end() - it);
        auto const end =
            it + static_cast<std::ptrdiff_t>(std::min(left, changes_per_part));
        part.changes.assign(it, end);
        parts.push_back(encode_journal_entry(part));
        it = end;
    } while (it != entry.changes.end());
    return parts;
}

std::string encode_parts(journal_entry const& entry, std::size_t parts)
{
    return nlohmann::ordered_json{{"version", entry.version},
        {"write_id", entry.write_id}, {"parts", parts}}
        .dump();
}

std::optional<split_reference> parts_of(std::string_view value)
{
    auto const body = nlohmann::json::parse(value, nullptr, false);
    if (!body.is_object() || !body.contains("parts"))
        return std::nullopt;
    return split_reference{body.value("version", std::uint64_t{0}),
        body.value("write_id", std::string()),
        body.value("parts", std::size_t{0})};
}

std::string encode_view(data_centre_view const& view, std::string const& writer)
{
    auto vms = nlohmann::ordered_json::array();
    for (auto const& it : view.vms)
        vms.push_back({{"vm", it.vm.text()}, {"peers", it.peers_address},
            {"callers", it.callers_address},
            {"incarnation", hexadecimal(it.incarnation)},
            {"standing", to_name(it.standing)}});
    return nlohmann::ordered_json{{"data_centre", view.data_centre.text()},
        {"epoch", view.epoch}, {"writer", writer}, {"vms", std::move(vms)}}
        .dump();
}

std::optional<data_centre_view> decode_view(
    std::string_view text, findings& found)
{
    auto const before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    data_centre_view view;
    std::string data_centre;
    std::int64_t epoch = 0;
    object_reader reader(*document, "", found);
    reader.text("data_centre", data_centre);
    reader.integer("epoch", epoch, 1, std::numeric_limits<std::int64_t>::max());
    reader.accept("writer");
    reader.accept("vms");
    reader.finish();
    view.data_centre = data_centre_id(data_centre);
    view.epoch = static_cast<std::uint64_t>(epoch);
    auto const vms = document->value.find("vms");
    if (vms == document->value.end() || !vms->is_array())
        reader.add("vms", "a list of VMs is expected");
    else
        for (std::size_t n = 0; n < vms->size(); ++n) {
            view.vms.push_back(
                read_vm(*document, fmt::format("/vms/{}", n), found));
            view.vms.back().data_centre = view.data_centre;
        }
    if (found.items().size() != before)
        return std::nullopt;
    return view;
}

std::uint64_t epoch_of(stored_object const& object)
{
    if (object.version == 0)
        return 0;
    findings found(object.name);
    auto const view = decode_view(object.value, found);
    return view ? view->epoch : 0;
}

} // namespace pomelohinge
