#include "main/settings_watch.hpp"

#include "core/clock.hpp"
#include "core/log.hpp"
#include "main/text_file.hpp"

namespace pomelohinge {
namespace {

/// Period at which the file is checked without a signal.
constexpr duration poll_period = std::chrono::seconds(2);

} // namespace

void settings_watch::start()
{
    if (!file_.path.empty() && file_.path != "-")
        schedule_check();
}

void settings_watch::schedule_check()
{
    timer_.expires_after(poll_period);
    timer_.async_wait([this](asio::error_code ec) {
        if (ec)
            return;
        check();
        schedule_check();
    });
}

void settings_watch::check()
{
    findings found(file_.path);
    auto const text = read_text_file(file_.path, found);
    if (!text) {
        log(log_event::settings_refused, {{"findings", found.to_text()}});
        return;
    }
    if (*text == file_.text)
        return;
    file_.text = *text;
    auto const parsed = parse_settings(*text, found);
    if (!parsed) {
        log(log_event::settings_refused, {{"findings", found.to_text()}});
        return;
    }
    // Only the log level can change at run time. Addresses, names and bounds
    // take effect at the next start.
    set_log_level(parsed->logs.level);
    log(log_event::settings_reloaded, {{"path", file_.path}});
}

} // namespace pomelohinge
