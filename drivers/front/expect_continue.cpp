#include "drivers/front/expect_continue.hpp"

#include "drivers/http/header_names.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

/// Whether a header line is `Expect: 100-continue`.
bool is_expectation(std::string_view line)
{
    auto const colon = line.find(':');
    if (colon == std::string_view::npos)
        return false;
    auto value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    return is_same_header(line.substr(0, colon), "Expect") &&
        is_same_header(value, "100-continue");
}

/// Whether a whole head contains the expectation. HTTP/1.0 has none.
bool has_expectation(std::string_view head)
{
    auto at = head.find(line_end);
    if (!head.substr(0, at).ends_with(" HTTP/1.1"))
        return false;
    while (at != std::string_view::npos) {
        head.remove_prefix(at + line_end.size());
        at = head.find(line_end);
        if (is_expectation(head.substr(0, at)))
            return true;
    }
    return false;
}

} // namespace

void expect_continue::add(std::string_view bytes)
{
    if (stage_ != stage::reading_head)
        return;
    auto const unsearched =
        head_.size() - std::min(head_.size(), head_end.size());
    head_ += bytes;
    auto const end = head_.find(head_end, unsearched);
    if (end == std::string::npos && head_.size() <= max_head_bytes)
        return;
    bool const expected = end != std::string::npos &&
        has_expectation(std::string_view(head_).substr(0, end));
    stage_ = expected ? stage::expected : stage::decided;
    head_.clear();
}

void expect_continue::request_received()
{
    stage_ = stage::reading_head;
    head_.clear();
}

} // namespace pomelohinge
