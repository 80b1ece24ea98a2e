#ifndef POMELOHINGE_MAIN_SETTINGS_WATCH_HPP
#define POMELOHINGE_MAIN_SETTINGS_WATCH_HPP

#include "config/settings.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <string>

namespace pomelohinge {

/// The path of the settings file and the text last read from it.
struct settings_file
{
    std::string path;
    std::string text;
};

/// Detects changes of the settings file, periodically or when a signal
/// requests a check, and applies those settings that can change at run time.
class settings_watch
{
public:
    settings_watch(asio::io_context& context, settings_file file)
        : timer_(context), file_(std::move(file))
    {
    }

    /// Starts to check the file periodically, unless the settings were read
    /// from standard input.
    void start();

    /// Checks the file now. If its text has changed, applies it and logs
    /// `settings_reloaded`, or logs `settings_refused` if it is invalid. Also
    /// logs `settings_refused` if the file cannot be read.
    void check();

private:
    void schedule_check();

    asio::steady_timer timer_;
    settings_file file_;
};

} // namespace pomelohinge

#endif
