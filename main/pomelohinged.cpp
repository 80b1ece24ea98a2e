#include "core/invariant.hpp"
#include "core/log.hpp"
#include "main/daemon.hpp"
#include "main/text_file.hpp"

#include <cxxopts.hpp>
#include <iostream>

namespace {

/// Exit statuses; docs/SETTINGS.md lists them.
constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_refused = 2;
constexpr int exit_invariant_broken = 3;

constexpr char const* version_text = "pomelohinged 0.1.0";

int run(cxxopts::ParseResult const& options)
{
    using namespace pomelohinge;
    auto const path = options["settings"].as<std::string>();
    findings found(path);
    auto const text = read_text_file(path, found);
    auto const configured = text ? parse_settings(*text, found) : std::nullopt;
    if (!configured) {
        std::cerr << found.to_text();
        return exit_refused;
    }
    findings in_charts("charts");
    auto charts = load_charts(options["charts"].as<std::string>(), in_charts);
    if (!charts) {
        std::cerr << in_charts.to_text();
        return exit_refused;
    }
    if (options.count("check-settings") > 0)
        return exit_done;
    configure_log(configured->format, configured->level);
    pomelohinge::daemon process(*configured, std::move(*charts));
    auto const status = process.run();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return exit_failed;
    }
    return invariant_violations() == 0 ? exit_done : exit_invariant_broken;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("pomelohinged", "The entry VM's daemon");
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
            return exit_done;
        }
        if (parsed.count("version") > 0) {
            std::cout << version_text << "\n";
            return exit_done;
        }
        if (parsed.count("settings") == 0) {
            std::cerr << "--settings FILE is needed\n";
            return exit_refused;
        }
        return run(parsed);
    } catch (cxxopts::exceptions::exception const& error) {
        std::cerr << error.what() << "\n";
        return exit_refused;
    }
}
