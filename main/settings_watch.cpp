#include "main/settings_watch.hpp"

#include "core/clock.hpp"
#include "core/log.hpp"
#include "main/text_file.hpp"

namespace pomelohinge {
namespace {

/// How often the file is looked at without a signal.
constexpr duration look_period = std::chrono::seconds(2);

} // namespace

void settings_watch::start()
{
    if (!file_.path.empty() && file_.path != "-")
        await();
}

void settings_watch::await()
{
    timer_.expires_after(look_period);
    timer_.async_wait([this](asio::error_code ec) {
        if (ec)
            return;
        check();
        await();
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
    auto const read = parse_settings(*text, found);
    if (!read) {
        log(log_event::settings_refused, {{"findings", found.to_text()}});
        return;
    }
    // Addresses, names and bounds hold until the next start.
    set_log_level(read->logs.level);
    log(log_event::settings_reloaded, {{"path", file_.path}});
}

} // namespace pomelohinge
