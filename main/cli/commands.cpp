#include "main/cli/commands.hpp"

#include "config/merge.hpp"
#include "config/object_codec.hpp"
#include "drivers/front/http_messages.hpp"
#include "main/cli/blocking_platform.hpp"
#include "main/explain/request_timeline.hpp"
#include "main/text_file.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <random>

namespace pomelohinge {
namespace {

/// Maximum number of attempts to append a change; an attempt fails if another
/// operator has appended the same version first.
constexpr int max_append_attempts = 8;

command_exit fail(absl::Status const& status)
{
    std::cerr << status.message() << "\n";
    return absl::IsUnavailable(status) ? command_exit::unavailable
                                       : command_exit::failed;
}

command_exit refuse(std::string const& text)
{
    std::cerr << text << (text.ends_with('\n') ? "" : "\n");
    return command_exit::refused;
}

std::string make_write_id()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

/// The changes of a command, computed against one version of the
/// configuration.
struct planned_change
{
    std::vector<configuration_change> changes;
    /// Why the change cannot be made; empty if it can.
    std::string refusal;
    command_exit exit = command_exit::done;
};

std::string describe_conflicts(std::vector<merge_conflict> const& conflicts)
{
    std::string text =
        "changed by other operators since the reviewed version:\n";
    for (auto const& it : conflicts)
        text += fmt::format("  {}/{}\n", to_name(it.kind), it.name);
    return text;
}

/// Appends the changes that `plan` computes. If another operator has appended
/// the version first, the changes are computed again for the newer one.
template <class Plan>
command_exit change_configuration(command_line const& line, Plan&& plan)
{
    blocking_platform platform(line.platform);
    for (int it = 0; it < max_append_attempts; ++it) {
        auto const stored = platform.read();
        if (!stored.ok())
            return fail(stored.status());
        planned_change const planned = plan(*stored);
        if (!planned.refusal.empty()) {
            std::cerr << planned.refusal;
            return planned.exit;
        }
        if (planned.changes.empty()) {
            std::cout << fmt::format(
                "version {}: nothing to change\n", stored->version);
            return command_exit::done;
        }
        findings found("configuration");
        check_configuration(stored->current.with(planned.changes), found);
        if (!found.empty())
            return refuse(found.to_text());
        journal_entry const entry{stored->version + 1, make_write_id(),
            line.operator_name, planned.changes};
        auto const status = platform.append(entry);
        if (status.ok()) {
            std::cout << describe_changes(stored->current, planned.changes);
            std::cout << fmt::format("version {} accepted\n", entry.version);
            return command_exit::done;
        }
        if (!absl::IsAborted(status))
            return fail(status);
    }
    std::cerr << "gave up after repeated conflicts with other operators\n";
    return command_exit::conflict;
}

std::optional<configuration> read_desired_configuration(findings& found)
{
    auto const text = read_text_file(found.source(), found);
    return text ? parse_configuration(*text, found) : std::nullopt;
}

/// Returns the file that the command reads; "-" is standard input.
std::string input_path(command_line const& line)
{
    return line.arguments.empty() ? "-" : line.arguments.front();
}

/// Removes the deletions from `changes`. Without the reviewed version an object
/// that the text omits cannot be told from one that was added since, so only
/// additions and modifications are made.
void remove_deletions(std::vector<configuration_change>& changes)
{
    std::erase_if(changes, [](auto const& it) { return !it.object; });
}

/// Computes the changes from the stored to the desired configuration. With a
/// reviewed version they are merged with the changes made since.
planned_change plan_desired_configuration(command_line const& line,
    configuration const& desired, stored_configuration const& stored)
{
    planned_change planned;
    if (!line.against) {
        planned.changes = difference(stored.current, desired);
        remove_deletions(planned.changes);
        return planned;
    }
    auto merged = merge_configuration(
        stored.at_version(*line.against), desired, stored.current);
    if (!merged.conflicts.empty()) {
        planned.refusal = describe_conflicts(merged.conflicts);
        planned.exit = command_exit::conflict;
    }
    planned.changes = std::move(merged.changes);
    return planned;
}

command_exit run_check(command_line const& line)
{
    findings found(input_path(line));
    if (!read_desired_configuration(found))
        return refuse(found.to_text());
    std::cout << "no findings\n";
    return command_exit::done;
}

command_exit run_apply(command_line const& line)
{
    findings found(input_path(line));
    auto const desired = read_desired_configuration(found);
    if (!desired)
        return refuse(found.to_text());
    return change_configuration(line, [&](stored_configuration const& it) {
        return plan_desired_configuration(line, *desired, it);
    });
}

command_exit run_diff(command_line const& line)
{
    findings found(input_path(line));
    auto const desired = read_desired_configuration(found);
    if (!desired)
        return refuse(found.to_text());
    blocking_platform platform(line.platform);
    auto const stored = platform.read();
    if (!stored.ok())
        return fail(stored.status());
    auto const planned = plan_desired_configuration(line, *desired, *stored);
    std::cout << fmt::format("# against version {}\n", stored->version)
              << describe_changes(stored->current, planned.changes)
              << planned.refusal;
    return planned.exit;
}

command_exit run_show(command_line const& line)
{
    blocking_platform platform(line.platform);
    auto const stored = platform.read();
    if (!stored.ok())
        return fail(stored.status());
    std::cout << fmt::format("// version {}\n", stored->version)
              << print_configuration(stored->current);
    return command_exit::done;
}

command_exit run_correct(command_line const& line)
{
    if (line.arguments.size() != 2)
        return refuse("usage: pomelohinge correct MISSPELLED SERVICE");
    configuration_change const change{object_kind::correction,
        line.arguments[0],
        any_object(correction_object{service_id(line.arguments[1])})};
    if (!is_object_name(change.name))
        return refuse("\"" + change.name + "\" is not a name");
    return change_configuration(line, [&](stored_configuration const& it) {
        planned_change planned;
        if (it.current.find_any(change.kind, change.name) != change.object)
            planned.changes.push_back(change);
        return planned;
    });
}

command_exit set_data_centre_state(
    command_line const& line, data_centre_state state)
{
    if (line.arguments.size() != 1)
        return refuse("usage: pomelohinge drain|undrain DATA_CENTRE");
    auto const& name = line.arguments.front();
    return change_configuration(line, [&](stored_configuration const& it) {
        planned_change planned;
        auto const* const current = it.current.find<data_centre_object>(name);
        if (current == nullptr) {
            planned.refusal = "unknown data centre \"" + name + "\"\n";
            planned.exit = command_exit::refused;
            return planned;
        }
        auto changed = *current;
        changed.state = state;
        if (!(changed == *current))
            planned.changes.push_back(
                {object_kind::data_centre, name, any_object(changed)});
        return planned;
    });
}

command_exit run_key_hash()
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty())
        return refuse("no key on standard input");
    std::cout << to_hex(hash_key(key)) << "\n";
    return command_exit::done;
}

command_exit run_status(command_line const& line)
{
    if (line.arguments.empty())
        return refuse("usage: pomelohinge status OPERATORS_ADDRESS …");
    blocking_platform platform(line.platform);
    auto result = command_exit::done;
    for (auto const& it : line.arguments) {
        auto const page = platform.get("http://" + it + "/status");
        if (page.ok())
            std::cout << *page << "\n";
        else
            result = fail(page.status());
    }
    return result;
}

command_exit run_explain(command_line const& line)
{
    if (line.arguments.size() < 2)
        return refuse("usage: pomelohinge explain REQUEST_ID FILE …");
    std::vector<log_record> records;
    for (std::size_t it = 1; it < line.arguments.size(); ++it) {
        findings found(line.arguments[it]);
        auto const text = read_text_file(found.source(), found);
        if (!text)
            return refuse(found.to_text());
        auto read = read_log_records(*text, found);
        std::move(read.begin(), read.end(), std::back_inserter(records));
        std::cerr << found.to_text();
    }
    auto const timeline =
        build_timeline(line.arguments.front(), std::move(records));
    if (line.output == output_format::json)
        std::cout << to_json(timeline).dump(2) << "\n";
    else
        std::cout << to_text(timeline);
    return timeline.lines.empty() ? command_exit::failed : command_exit::done;
}

} // namespace

command_exit run_command(command_line const& line)
{
    switch (line.command) {
    case subcommand::apply:
        return run_apply(line);
    case subcommand::check:
        return run_check(line);
    case subcommand::correct:
        return run_correct(line);
    case subcommand::diff:
        return run_diff(line);
    case subcommand::drain:
        return set_data_centre_state(line, data_centre_state::out);
    case subcommand::explain:
        return run_explain(line);
    case subcommand::key_hash:
        return run_key_hash();
    case subcommand::show:
        return run_show(line);
    case subcommand::status:
        return run_status(line);
    case subcommand::undrain:
        return set_data_centre_state(line, data_centre_state::serving);
    }
    return command_exit::failed;
}

} // namespace pomelohinge
