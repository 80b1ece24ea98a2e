#include "core/log.hpp"
#include "main/cli/commands.hpp"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace pomelohinge;

std::string operator_from_environment()
{
    auto const* const name = std::getenv("USER");
    return name == nullptr ? "operator" : name;
}

std::string command_names()
{
    std::string names;
    for (auto const& it : name_table<subcommand>)
        names += (names.empty() ? "" : " | ") + std::string(it.name);
    return names;
}

int run(cxxopts::ParseResult const& options)
{
    command_line line;
    auto const name = options["command"].as<std::string>();
    auto const parsed_command = from_name<subcommand>(name);
    if (!parsed_command) {
        std::cerr << "unknown command \"" << name
                  << "\"; expected one of: " << command_names() << "\n";
        return static_cast<int>(command_exit::refused);
    }
    line.command = *parsed_command;
    line.platform = options["platform"].as<std::string>();
    line.operator_name = options["operator"].as<std::string>();
    if (options.count("arguments") > 0)
        line.arguments = options["arguments"].as<std::vector<std::string>>();
    if (options.count("against") > 0)
        line.against = options["against"].as<std::uint64_t>();
    auto const output =
        from_name<output_format>(options["output"].as<std::string>());
    if (!output) {
        std::cerr << "--output must be text or json\n";
        return static_cast<int>(command_exit::refused);
    }
    line.output = *output;
    return static_cast<int>(run_command(line));
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("pomelohinge", "Command-line tool for operators");
    options.add_options()("command", command_names(),
        cxxopts::value<std::string>())("arguments", "Arguments of the command",
        cxxopts::value<std::vector<std::string>>())("platform",
        "Address of the object service",
        cxxopts::value<std::string>()->default_value("127.0.0.1:9000"),
        "IP:PORT")("operator",
        "Name that is recorded as the author of a change",
        cxxopts::value<std::string>()->default_value(
            operator_from_environment()),
        "NAME")("against",
        "Configuration version that the text was reviewed against",
        cxxopts::value<std::uint64_t>(),
        "N")("output", "Output format of explain",
        cxxopts::value<std::string>()->default_value("text"),
        "text|json")("help", "Print this help");
    options.parse_positional({"command", "arguments"});
    options.positional_help("COMMAND [ARGUMENT …]");
    try {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("command") == 0) {
            std::cout << options.help();
            return static_cast<int>(parsed.count("help") > 0
                    ? command_exit::done
                    : command_exit::refused);
        }
        configure_log({log_format::text, log_level::error});
        auto const exit = run(parsed);
        shutdown_log(std::chrono::seconds(1));
        return exit;
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(command_exit::refused);
    }
}
