#ifndef POMELOHINGE_MAIN_TEXT_FILE_HPP
#define POMELOHINGE_MAIN_TEXT_FILE_HPP

#include "core/findings.hpp"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

namespace pomelohinge {

/// Returns the whole text of a file, or of standard input if the path is "-".
/// If the file cannot be read, a finding is added and the result is empty.
inline std::optional<std::string> read_text_file(
    std::string const& path, findings& found)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file) {
        found.add({}, "", "the file cannot be read");
        return std::nullopt;
    }
    text << file.rdbuf();
    return text.str();
}

} // namespace pomelohinge

#endif
