#ifndef POMELOHINGE_MAIN_SETTINGS_WATCH_HPP
#define POMELOHINGE_MAIN_SETTINGS_WATCH_HPP

#include "config/settings.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <string>

namespace pomelohinge {

/// Where the settings came from, and their text when they were read.
struct settings_file
{
    std::string path;
    std::string text;
};

/// Notices that the settings have changed, with a signal or without, and
/// puts in force what can change while the process runs.
class settings_watch
{
public:
    settings_watch(asio::io_context& context, settings_file file)
        : timer_(context), file_(std::move(file))
    {
    }

    /// Begins to look at the file now and then.
    void start();

    /// Looks at the file now.
    void check();

private:
    void await();

    asio::steady_timer timer_;
    settings_file file_;
};

} // namespace pomelohinge

#endif
