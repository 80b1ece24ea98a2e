#include "drivers/http/head_checker.hpp"

#include <utility>

namespace pomelohinge {
namespace {

/// The start of a status line; `#` stands for a digit. Its first character
/// occurs once, so a mismatch can only begin it again.
constexpr std::string_view status_line = "HTTP/#.# ###";

bool matches(char pattern, char it)
{
    return pattern == '#' ? it >= '0' && it <= '9' : it == pattern;
}

} // namespace

std::optional<std::size_t> head_checker::check(std::string_view bytes)
{
    std::size_t n = 0;
    while (n < bytes.size() && !is_complete_)
        if (!accept(bytes[n++]))
            return std::nullopt;
    return n;
}

bool head_checker::accept(char it)
{
    bool const begins = last_ == '\0';
    // Blank lines may precede the head.
    if (begins && (it == '\r' || it == '\n'))
        return true;
    if (it == '\0' || (last_ == '\r') != (it == '\n'))
        return false;
    if (ends_status_line(it) && std::exchange(has_status_line_, true))
        return false;
    bool const begins_header = last_ == '\n';
    last_ = it;
    if (it == '\n') {
        is_complete_ = is_line_empty_;
        is_line_empty_ = true;
        return true;
    }
    if (it == '\r')
        return true;
    is_line_empty_ = false;
    if (begins_header)
        in_name_ = true;
    if (it == ':')
        in_name_ = false;
    return !in_name_ || (it != ' ' && it != '\t');
}

/// Whether `it` completes the start of a status line.
bool head_checker::ends_status_line(char it)
{
    if (!matches(status_line[matched_], it))
        matched_ = 0;
    if (matches(status_line[matched_], it))
        ++matched_;
    if (matched_ < status_line.size())
        return false;
    matched_ = 0;
    return true;
}

} // namespace pomelohinge
