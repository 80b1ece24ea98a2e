#ifndef POMELOHINGE_DRIVERS_HTTP_HEAD_CHECKER_HPP
#define POMELOHINGE_DRIVERS_HTTP_HEAD_CHECKER_HPP

#include "drivers/http/head_grammar.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace pomelohinge {

/// Whose head is checked.
enum class head_kind {
    answer,
    request,
};

template <>
inline constexpr auto name_table<head_kind> = make_name_table<head_kind>({
    {head_kind::answer, "answer"},
    {head_kind::request, "request"},
});
static_assert(is_ordered<head_kind>());

/// Checks the head of a message by the grammar, since http_parser and libcurl
/// are lenient. Nothing in the head of an answer may look like the status line
/// of another one, as is the case if the target broke off within the head and
/// went on.
class head_checker
{
public:
    explicit head_checker(head_kind kind = head_kind::answer);

    /// Checks bytes up to the end of the head and returns their number;
    /// `nullopt` if the head is malformed.
    std::optional<std::size_t> check(std::string_view bytes);

    /// Whether the start line has not begun.
    bool is_at_start() const
    {
        return place_ == head_place::answer_start ||
            place_ == head_place::request_start;
    }

    /// Whether the end of the head has been reached.
    bool is_complete() const { return place_ == head_place::complete; }

private:
    bool accept(char it);
    bool ends_status_line(char it);

    head_kind kind_;
    head_place place_;
    /// The rest of a literal, before which `place_` is not reached.
    std::string_view literal_left_;
    /// Length of the part of a status line that ends with the latest byte.
    std::size_t matched_ = 0;
    bool has_status_line_ = false;
};

} // namespace pomelohinge

#endif
