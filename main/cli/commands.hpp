#ifndef POMELOHINGE_MAIN_CLI_COMMANDS_HPP
#define POMELOHINGE_MAIN_CLI_COMMANDS_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge {

/// The subcommands of the command-line tool.
enum class subcommand {
    apply,
    check,
    correct,
    diff,
    drain,
    explain,
    key_hash,
    show,
    status,
    undrain,
};

template <>
inline constexpr auto name_table<subcommand> = make_name_table<subcommand>({
    {subcommand::apply, "apply"},
    {subcommand::check, "check"},
    {subcommand::correct, "correct"},
    {subcommand::diff, "diff"},
    {subcommand::drain, "drain"},
    {subcommand::explain, "explain"},
    {subcommand::key_hash, "key-hash"},
    {subcommand::show, "show"},
    {subcommand::status, "status"},
    {subcommand::undrain, "undrain"},
});
static_assert(is_ordered<subcommand>());

/// Exit statuses of the process.
enum class command_exit : int {
    done = 0,
    failed = 1,
    refused = 2,
    conflict = 3,
    unavailable = 4,
};

/// The output format of a command.
enum class output_format { text, json };

template <>
inline constexpr auto
    name_table<output_format> = make_name_table<output_format>({
        {output_format::text, "text"},
        {output_format::json, "json"},
    });
static_assert(is_ordered<output_format>());

/// The parsed command line.
struct command_line
{
    subcommand command = subcommand::show;
    std::vector<std::string> arguments;
    /// The address of the object service.
    std::string platform;
    /// The author that the journal records for a change.
    std::string operator_name;
    /// The configuration version that the text was reviewed against, if given.
    std::optional<std::uint64_t> against;
    output_format output = output_format::text;
};

/// Runs a command and prints its result.
command_exit run_command(command_line const& line);

} // namespace pomelohinge

#endif
