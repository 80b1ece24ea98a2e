#ifndef POMELOHINGE_MAIN_CLI_COMMANDS_HPP
#define POMELOHINGE_MAIN_CLI_COMMANDS_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge {

/// What operators can ask for.
enum class command {
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
inline constexpr auto name_table<command> = make_name_table<command>({
    {command::apply, "apply"},
    {command::check, "check"},
    {command::correct, "correct"},
    {command::diff, "diff"},
    {command::drain, "drain"},
    {command::explain, "explain"},
    {command::key_hash, "key-hash"},
    {command::show, "show"},
    {command::status, "status"},
    {command::undrain, "undrain"},
});
static_assert(is_ordered<command>());

/// How a command ended, as the process tells it.
enum class command_exit : int {
    done = 0,
    failed = 1,
    refused = 2,
    conflict = 3,
    unavailable = 4,
};

/// The form of what a command prints.
enum class output_form { text, json };

template <>
inline constexpr auto name_table<output_form> = make_name_table<output_form>({
    {output_form::text, "text"},
    {output_form::json, "json"},
});
static_assert(is_ordered<output_form>());

/// The command line, taken apart.
struct command_line
{
    command what = command::show;
    std::vector<std::string> arguments;
    std::string platform;
    std::string operator_name;
    /// The version that the text was reviewed against.
    std::optional<std::uint64_t> against;
    output_form output = output_form::text;
};

/// Runs one command and prints its result.
command_exit run_command(command_line const& line);

} // namespace pomelohinge

#endif
