#include "config/configuration_text.hpp"

#include "config/object_codec.hpp"
#include "core/object_reader.hpp"

#include <fmt/format.h>
#include <limits>

namespace pomelohinge {
namespace {

constexpr std::int64_t format_version = 1;

/// Reads the objects of one kind and appends a change that adds each of them.
void read_objects(json_document const& document, object_kind kind,
    std::vector<configuration_change>& changes, findings& found)
{
    auto const pointer = fmt::format("/{}", to_name(kind));
    auto const& objects =
        document.value.at(nlohmann::json::json_pointer(pointer));
    if (!objects.is_object())
        return found.add(
            document.position_of(pointer), pointer, "an object is expected");
    for (auto const& it : objects.items()) {
        auto const path = pointer + "/" + escape_pointer_token(it.key());
        if (!is_object_name(it.key()))
            found.add(document.position_of(path), path,
                "\"" + it.key() + "\" is not a name");
        if (auto object = decode_object(kind, document, path, found))
            changes.push_back({kind, it.key(), std::move(object)});
    }
}

/// Adds the findings of `check_configuration` to `found`, with the positions of
/// the objects concerned.
void add_positioned_findings(
    json_document const& document, findings const& checked, findings& found)
{
    for (auto const& it : checked.items())
        found.add(document.position_of(it.path), it.path, it.message);
}

nlohmann::ordered_json encode_change(configuration_change const& it)
{
    nlohmann::ordered_json body{{"kind", to_name(it.kind)}, {"name", it.name}};
    if (it.object)
        body["object"] = encode_object(*it.object);
    return body;
}

void read_change(json_document const& document, std::string const& pointer,
    journal_entry& entry, findings& found)
{
    configuration_change change{};
    object_reader reader(document, pointer, found);
    reader.name("kind", change.kind);
    reader.text("name", change.name);
    reader.allow("object");
    reader.finish();
    if (reader.has("object"))
        change.object =
            decode_object(change.kind, document, pointer + "/object", found);
    entry.changes.push_back(std::move(change));
}

} // namespace

std::optional<configuration> parse_configuration(
    std::string_view text, findings& found)
{
    auto const before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    std::vector<configuration_change> changes;
    std::int64_t format = 0;
    object_reader reader(*document, "", found);
    reader.integer("format", format, format_version, format_version);
    for (auto const& it : name_table<object_kind>) {
        reader.allow(it.name);
        if (reader.has(it.name))
            read_objects(*document, it.value, changes, found);
    }
    reader.finish();
    if (found.items().size() != before)
        return std::nullopt;
    auto built = configuration().with(changes);
    findings checked(found.source());
    check_configuration(built, checked);
    add_positioned_findings(*document, checked, found);
    if (!checked.empty())
        return std::nullopt;
    return built;
}

std::string print_configuration(configuration const& configured)
{
    std::string text = fmt::format("{{\n  \"format\": {}", format_version);
    std::optional<object_kind> current_kind;
    configured.for_each(
        [&](object_kind kind, std::string const& name, auto const& object) {
            if (current_kind == kind) {
                text += ",\n";
            } else {
                text += current_kind ? "\n  },\n" : ",\n";
                text += fmt::format("  \"{}\": {{\n", to_name(kind));
                current_kind = kind;
            }
            text += fmt::format("    \"{}\": {}", name,
                encode_object(any_object(object)).dump());
        });
    text += current_kind ? "\n  }\n}\n" : "\n}\n";
    return text;
}

std::string describe_changes(configuration const& before,
    std::vector<configuration_change> const& changes)
{
    std::string text;
    for (auto const& it : changes) {
        auto const old = before.find_any(it.kind, it.name);
        auto const path = fmt::format("{}/{}", to_name(it.kind), it.name);
        if (old)
            text += fmt::format("- {} {}\n", path, encode_object(*old).dump());
        if (it.object)
            text += fmt::format(
                "+ {} {}\n", path, encode_object(*it.object).dump());
    }
    return text;
}

std::string encode_journal_entry(journal_entry const& entry)
{
    auto changes = nlohmann::ordered_json::array();
    for (auto const& it : entry.changes)
        changes.push_back(encode_change(it));
    return nlohmann::ordered_json{{"version", entry.version},
        {"write_id", entry.write_id}, {"operator", entry.operator_name},
        {"changes", std::move(changes)}}
        .dump();
}

std::optional<journal_entry> decode_journal_entry(
    std::string_view text, findings& found)
{
    auto const before = found.items().size();
    auto const document = parse_json_text(text, found);
    if (!document)
        return std::nullopt;
    journal_entry entry;
    std::int64_t version = 0;
    object_reader reader(*document, "", found);
    reader.integer(
        "version", version, 1, std::numeric_limits<std::int64_t>::max());
    reader.text("write_id", entry.write_id);
    reader.text("operator", entry.operator_name);
    reader.allow("changes");
    reader.finish();
    entry.version = static_cast<std::uint64_t>(version);
    auto const changes = document->value.find("changes");
    if (changes == document->value.end() || !changes->is_array())
        reader.add("changes", "a list of changes is expected");
    else
        for (std::size_t n = 0; n < changes->size(); ++n)
            read_change(*document, fmt::format("/changes/{}", n), entry, found);
    if (found.items().size() != before)
        return std::nullopt;
    return entry;
}

} // namespace pomelohinge
