#ifndef POMELOHINGE_MAIN_DAEMON_MAIN_HPP
#define POMELOHINGE_MAIN_DAEMON_MAIN_HPP

#include "core/invariant.hpp"
#include "core/log.hpp"
#include "main/daemon.hpp"
#include "main/text_file.hpp"

#include <cxxopts.hpp>
#include <iostream>
#include <malloc.h>

namespace pomelohinge {

/// Exit statuses of the daemons; documented in docs/SETTINGS.md.
enum class daemon_exit : int {
    done = 0,
    failed = 1,
    invalid_input = 2,
    invariant_violated = 3,
};

/// Makes the allocator return a large buffer to the system as soon as it is
/// freed. By default glibc raises the size for this when it sees larger ones.
inline void return_freed_buffers()
{
    constexpr int min_mapped_bytes = 256 << 10;
    if (mallopt(M_MMAP_THRESHOLD, min_mapped_bytes) == 0)
        std::cerr << "the allocator keeps large buffers after they are freed\n";
}

/// Reads settings and charts, then runs the daemon until it stops.
template <FleetPlatform Platform>
daemon_exit run_daemon(cxxopts::ParseResult const& options)
{
    auto const path = options["settings"].as<std::string>();
    findings settings_findings(path);
    auto const text = read_text_file(path, settings_findings);
    auto const configured =
        text ? parse_settings(*text, settings_findings) : std::nullopt;
    findings chart_findings("charts");
    auto charts =
        load_charts(options["charts"].as<std::string>(), chart_findings);
    if (!configured || !charts) {
        std::cerr << settings_findings.to_text() << chart_findings.to_text();
        return daemon_exit::invalid_input;
    }
    if (options.count("check-settings") > 0)
        return daemon_exit::done;
    return_freed_buffers();
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
                                       : daemon_exit::invariant_violated;
}

/// Parses the command line of a daemon on `Platform` and runs the daemon.
template <FleetPlatform Platform>
daemon_exit daemon_main(int argc, char** argv, std::string const& program)
{
    cxxopts::Options options(program, "Daemon of an entry VM");
    options.add_options()("settings", "Settings file",
        cxxopts::value<std::string>(), "FILE")("charts",
        "Directory with charts that replace the built-in ones",
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
            std::cerr << "--settings FILE is required\n";
            return daemon_exit::invalid_input;
        }
        return run_daemon<Platform>(parsed);
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << error.what() << "\n";
        return daemon_exit::invalid_input;
    }
}

} // namespace pomelohinge

#endif
