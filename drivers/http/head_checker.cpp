#include "drivers/http/head_checker.hpp"

namespace pomelohinge {

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

} // namespace pomelohinge
