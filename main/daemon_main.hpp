#ifndef POMELOHINGE_MAIN_DAEMON_MAIN_HPP
#define POMELOHINGE_MAIN_DAEMON_MAIN_HPP

#include "core/invariant.hpp"
#include "core/log.hpp"
#include "main/daemon.hpp"
#include "main/process_signals.hpp"
#include "main/settings_source.hpp"
#include "main/uncaught_exceptions.hpp"

#include <cstdlib>
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
    uncaught_exception = uncaught_exception_status,
};

/// How long a stop waits for the reader of standard output.
inline constexpr std::chrono::milliseconds log_write_timeout{200};

/// Name of a daemon's program, and the path of its settings file if neither the
/// command line nor the environment has one; may be empty.
struct program_description
{
    std::string name;
    std::string settings_path;
};

inline std::string find_settings_path(
    cxxopts::ParseResult const& options, program_description const& program)
{
    if (options.count("settings") > 0)
        return options["settings"].as<std::string>();
    auto const* const it = std::getenv(settings_variable);
    return it == nullptr ? program.settings_path : it;
}

/// Makes the allocator return a large buffer to the system as soon as it is
/// freed. By default glibc raises the size for this when it sees larger ones.
inline void return_freed_buffers()
{
    constexpr int min_mapped_bytes = 256 << 10;
    if (mallopt(M_MMAP_THRESHOLD, min_mapped_bytes) == 0)
        std::cerr << "the allocator keeps large buffers after they are freed\n";
}

/// Ends the start of a daemon for which the machine lacks something, such as
/// descriptors or a library.
inline daemon_exit report_failed_start(std::exception const& error)
{
    log(log_event::start_failed, {{"detail", error.what()}});
    bool const written = shutdown_log(log_write_timeout);
    std::cerr << "the daemon cannot start: " << error.what() << "\n";
    if (!written)
        std::_Exit(static_cast<int>(daemon_exit::failed));
    return daemon_exit::failed;
}

/// Reads settings and charts, then runs the daemon until it stops.
template <FleetPlatform Platform>
daemon_exit run_daemon(
    cxxopts::ParseResult const& options, program_description const& program)
{
    bool const only_checks = options.count("check-settings") > 0;
    auto const path = find_settings_path(options, program);
    if (path.empty()) {
        std::cerr << "--settings FILE or " << settings_variable
                  << " is required\n";
        return daemon_exit::invalid_input;
    }
    findings settings_findings(path);
    auto source = only_checks ? read_settings(path, settings_findings)
                              : await_settings(path, settings_findings);
    findings chart_findings("charts");
    auto charts =
        load_charts(options["charts"].as<std::string>(), chart_findings);
    if (!source || !charts) {
        std::cerr << settings_findings.to_text() << chart_findings.to_text();
        return is_stop_pending() ? daemon_exit::done
                                 : daemon_exit::invalid_input;
    }
    if (only_checks) {
        for (auto const& it : source->parsed.adjustments)
            std::cerr << path << ": " << it << "\n";
        return daemon_exit::done;
    }
    return_freed_buffers();
    configure_log(source->parsed.logs);
    for (auto const& it : source->parsed.adjustments)
        log(log_event::settings_adjusted, {{"detail", it}});
    std::unique_ptr<daemon<Platform>> process;
    try {
        process = std::make_unique<daemon<Platform>>(std::move(source->parsed),
            std::move(source->file), std::move(*charts));
    } catch (std::exception const& error) {
        return report_failed_start(error);
    }
    auto const status = process->run();
    bool const abandoned = process->is_abandoned();
    if (abandoned)
        static_cast<void>(process.release());
    process.reset();
    bool const written = shutdown_log(log_write_timeout);
    if (!status.ok() && written)
        std::cerr << status.message() << "\n";
    auto const code = !status.ok()    ? daemon_exit::failed
        : invariant_violations() == 0 ? daemon_exit::done
                                      : daemon_exit::invariant_violated;
    // Threads that still run may use static objects.
    if (abandoned || !written)
        std::_Exit(static_cast<int>(code));
    return code;
}

/// Parses the command line of a daemon on `Platform` and runs the daemon.
template <FleetPlatform Platform>
daemon_exit daemon_main(
    int argc, char** argv, program_description const& program)
{
    block_signals();
    end_on_uncaught_exceptions();
    cxxopts::Options options(program.name, "Daemon of an entry VM");
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
            std::cout << program.name << " 0.2.0\n";
            return daemon_exit::done;
        }
        return run_daemon<Platform>(parsed, program);
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << error.what() << "\n";
        return daemon_exit::invalid_input;
    }
}

} // namespace pomelohinge

#endif
