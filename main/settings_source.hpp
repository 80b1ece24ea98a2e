#ifndef POMELOHINGE_MAIN_SETTINGS_SOURCE_HPP
#define POMELOHINGE_MAIN_SETTINGS_SOURCE_HPP

#include "config/settings.hpp"
#include "core/findings.hpp"
#include "main/settings_watch.hpp"

#include <optional>
#include <string>

namespace pomelohinge {

/// The environment variable with the path of the settings file, used if the
/// command line has none.
inline constexpr char const* settings_variable = "POMELOHINGE_SETTINGS";

/// Settings and the file that they were read from.
struct settings_source
{
    settings parsed;
    settings_file file;
};

/// Reads the settings once. All errors are added to `found`; the result is
/// empty if there are any.
std::optional<settings_source> read_settings(
    std::string const& path, findings& found);

/// As above, but tries again for some seconds: when a VM starts, the file may
/// not be written yet, or only in part. Returns early when a stop is requested.
std::optional<settings_source> await_settings(
    std::string const& path, findings& found);

} // namespace pomelohinge

#endif
