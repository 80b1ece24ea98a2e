#ifndef POMELOHINGE_MAIN_DAEMON_MAIN_HPP
#define POMELOHINGE_MAIN_DAEMON_MAIN_HPP

#include "core/invariant.hpp"
#include "core/log.hpp"
#include "main/daemon.hpp"
#include "main/text_file.hpp"

#include <cxxopts.hpp>
#include <iostream>

namespace pomelohinge {

/// Exit statuses of daemons; docs/SETTINGS.md lists them.
enum class daemon_exit : int {
    done = 0,
    failed = 1,
    refused = 2,
    invariant_broken = 3,
};

template <FleetPlatform Platform>
daemon_exit run_daemon(cxxopts::ParseResult const& options)
{
    auto const path = options["settings"].as<std::string>();
    findings found(path);
    auto const text = read_text_file(path, found);
    auto const configured = text ? parse_settings(*text, found) : std::nullopt;
    findings in_charts("charts");
    auto charts = load_charts(options["charts"].as<std::string>(), in_charts);
    if (!configured || !charts) {
        std::cerr << found.to_text() << in_charts.to_text();
        return daemon_exit::refused;
    }
    if (options.count("check-settings") > 0)
        return daemon_exit::done;
    configure_log(configured->logs);
    absl::Status status;
    {
        daemon<Platform> process(
            *configured, settings_file{path, *text}, std::move(*charts));
        status = process.run();
    }
    shutdown_log();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return daemon_exit::failed;
    }
    return invariant_violations() == 0 ? daemon_exit::done
                                       : daemon_exit::invariant_broken;
}

/// The command line of a daemon on `Platform`.
template <FleetPlatform Platform>
daemon_exit daemon_main(int argc, char** argv, std::string const& program)
{
    cxxopts::Options options(program, "The entry VM's daemon");
    options.add_options()("settings", "File with the settings",
        cxxopts::value<std::string>(),
        "FILE")("charts", "Folder with charts, in place of those in the binary",
        cxxopts::value<std::string>()->default_value(""),
        "DIR")("check-settings", "Check settings and charts, then exit")(
        "version", "Print the version")("help", "Print this help");
    try {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return daemon_exit::done;
        }
        if (parsed.count("version") > 0) {
            std::cout << program << " 0.2.0\n";
            return daemon_exit::done;
        }
        if (parsed.count("settings") == 0) {
            std::cerr << "--settings FILE is needed\n";
            return daemon_exit::refused;
        }
        return run_daemon<Platform>(parsed);
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << error.what() << "\n";
        return daemon_exit::refused;
    }
}

} // namespace pomelohinge

#endif
