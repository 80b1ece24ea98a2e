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

head_checker::head_checker(head_kind kind)
    : kind_(kind), place_(kind == head_kind::answer ? head_place::answer_start
                                                    : head_place::request_start)
{
}

std::optional<std::size_t> head_checker::check(std::string_view bytes)
{
    std::size_t n = 0;
    while (n < bytes.size() && !is_complete())
        if (!accept(bytes[n++]))
            return std::nullopt;
    return n;
}

bool head_checker::accept(char it)
{
    if (!literal_left_.empty()) {
        if (it != literal_left_.front())
            return false;
        literal_left_.remove_prefix(1);
    } else {
        auto const* const row =
            find_row(place_, static_cast<unsigned char>(it));
        if (row == nullptr)
            return false;
        if (row->bytes == byte_set::literal)
            literal_left_ = row->literal.substr(1);
        place_ = row->next;
    }
    return kind_ == head_kind::request || !ends_status_line(it) ||
        !std::exchange(has_status_line_, true);
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
