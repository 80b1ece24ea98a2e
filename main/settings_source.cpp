#include "main/settings_source.hpp"

#include "core/clock.hpp"
#include "main/process_signals.hpp"
#include "main/text_file.hpp"

#include <thread>

namespace pomelohinge {
namespace {

constexpr duration max_wait = std::chrono::seconds(5);
constexpr auto retry_period = std::chrono::milliseconds(50);

} // namespace

std::optional<settings_source> read_settings(
    std::string const& path, findings& found)
{
    auto text = read_text_file(path, found);
    auto parsed = text ? parse_settings(*text, found) : std::nullopt;
    if (!parsed)
        return std::nullopt;
    return settings_source{std::move(*parsed), {path, std::move(*text)}};
}

std::optional<settings_source> await_settings(
    std::string const& path, findings& found)
{
    auto const until = boottime_clock::now() + max_wait;
    while (true) {
        findings attempt_findings(path);
        if (auto source = read_settings(path, attempt_findings))
            return source;
        bool const is_last =
            path == "-" || is_stop_pending() || boottime_clock::now() >= until;
        if (is_last) {
            found.append(attempt_findings);
            return std::nullopt;
        }
        std::this_thread::sleep_for(retry_period);
    }
}

} // namespace pomelohinge
