#ifndef POMELOHINGE_DRIVERS_HTTP_HEAD_GRAMMAR_HPP
#define POMELOHINGE_DRIVERS_HTTP_HEAD_GRAMMAR_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <string_view>

namespace pomelohinge {

/// A place in the head of a message. The next byte is judged by it.
enum class head_place : std::uint8_t {
    answer_start,
    answer_blank_line,
    answer_minor_version,
    answer_version_end,
    status_hundreds,
    status_tens,
    status_ones,
    status_end,
    reason,
    request_start,
    request_blank_line,
    method,
    target_start,
    target,
    request_version,
    request_minor_version,
    request_version_end,
    start_line_end,
    field_start,
    name,
    value,
    value_end,
    head_end,
    complete,
};

template <>
inline constexpr auto name_table<head_place> = make_name_table<head_place>({
    {head_place::answer_start, "answer_start"},
    {head_place::answer_blank_line, "answer_blank_line"},
    {head_place::answer_minor_version, "answer_minor_version"},
    {head_place::answer_version_end, "answer_version_end"},
    {head_place::status_hundreds, "status_hundreds"},
    {head_place::status_tens, "status_tens"},
    {head_place::status_ones, "status_ones"},
    {head_place::status_end, "status_end"},
    {head_place::reason, "reason"},
    {head_place::request_start, "request_start"},
    {head_place::request_blank_line, "request_blank_line"},
    {head_place::method, "method"},
    {head_place::target_start, "target_start"},
    {head_place::target, "target"},
    {head_place::request_version, "request_version"},
    {head_place::request_minor_version, "request_minor_version"},
    {head_place::request_version_end, "request_version_end"},
    {head_place::start_line_end, "start_line_end"},
    {head_place::field_start, "field_start"},
    {head_place::name, "name"},
    {head_place::value, "value"},
    {head_place::value_end, "value_end"},
    {head_place::head_end, "head_end"},
    {head_place::complete, "complete"},
});
static_assert(is_ordered<head_place>());

/// The bytes that a row of the grammar accepts.
enum class byte_set : std::uint8_t {
    /// The bytes of the row's literal, in their order.
    literal,
    cr,
    lf,
    space,
    colon,
    zero_or_one,
    one_to_five,
    digit,
    /// RFC 9110, section 5.6.2.
    token,
    /// All but control bytes and the space.
    visible,
    /// All but control bytes other than the tab.
    text,
};

template <>
inline constexpr auto name_table<byte_set> = make_name_table<byte_set>({
    {byte_set::literal, "literal"},
    {byte_set::cr, "cr"},
    {byte_set::lf, "lf"},
    {byte_set::space, "space"},
    {byte_set::colon, "colon"},
    {byte_set::zero_or_one, "zero_or_one"},
    {byte_set::one_to_five, "one_to_five"},
    {byte_set::digit, "digit"},
    {byte_set::token, "token"},
    {byte_set::visible, "visible"},
    {byte_set::text, "text"},
});
static_assert(is_ordered<byte_set>());

/// At `place`, the bytes of a set lead to `next`.
struct grammar_row
{
    head_place place;
    byte_set bytes;
    head_place next;
    std::string_view literal = {};
};

/// The accepted heads of answers and requests (RFC 9112, sections 2 to 5). A
/// byte without a row makes the head malformed. Beyond the RFC, blank lines may
/// precede an answer, and a status line without a reason may lack the space at
/// its end, as some servers send it.
inline constexpr grammar_row head_grammar[] = {
    {head_place::answer_start, byte_set::cr, head_place::answer_blank_line},
    {head_place::answer_blank_line, byte_set::lf, head_place::answer_start},
    {head_place::answer_start, byte_set::literal,
        head_place::answer_minor_version, "HTTP/1."},
    {head_place::answer_minor_version, byte_set::zero_or_one,
        head_place::answer_version_end},
    {head_place::answer_version_end, byte_set::space,
        head_place::status_hundreds},
    {head_place::status_hundreds, byte_set::one_to_five,
        head_place::status_tens},
    {head_place::status_tens, byte_set::digit, head_place::status_ones},
    {head_place::status_ones, byte_set::digit, head_place::status_end},
    {head_place::status_end, byte_set::space, head_place::reason},
    {head_place::status_end, byte_set::cr, head_place::start_line_end},
    {head_place::reason, byte_set::text, head_place::reason},
    {head_place::reason, byte_set::cr, head_place::start_line_end},

    {head_place::request_start, byte_set::cr, head_place::request_blank_line},
    {head_place::request_blank_line, byte_set::lf, head_place::request_start},
    {head_place::request_start, byte_set::token, head_place::method},
    {head_place::method, byte_set::token, head_place::method},
    {head_place::method, byte_set::space, head_place::target_start},
    {head_place::target_start, byte_set::visible, head_place::target},
    {head_place::target, byte_set::visible, head_place::target},
    {head_place::target, byte_set::space, head_place::request_version},
    {head_place::request_version, byte_set::literal,
        head_place::request_minor_version, "HTTP/1."},
    {head_place::request_minor_version, byte_set::zero_or_one,
        head_place::request_version_end},
    {head_place::request_version_end, byte_set::cr, head_place::start_line_end},

    {head_place::start_line_end, byte_set::lf, head_place::field_start},
    {head_place::field_start, byte_set::token, head_place::name},
    {head_place::field_start, byte_set::cr, head_place::head_end},
    {head_place::name, byte_set::token, head_place::name},
    {head_place::name, byte_set::colon, head_place::value},
    {head_place::value, byte_set::text, head_place::value},
    {head_place::value, byte_set::cr, head_place::value_end},
    {head_place::value_end, byte_set::lf, head_place::field_start},
    {head_place::head_end, byte_set::lf, head_place::complete},
};

/// The row that accepts `byte` at `place`, for a literal its first byte; null
/// if there is none.
grammar_row const* find_row(head_place place, unsigned char byte);

/// What follows an answer's head, by its status.
enum class status_class : std::uint8_t {
    /// Another answer to the same request.
    interim,
    /// Bytes of another protocol, which no request asks for.
    protocol_change,
    /// Nothing, whatever length the head states.
    without_body,
    with_body,
};

template <>
inline constexpr auto name_table<status_class> = make_name_table<status_class>({
    {status_class::interim, "interim"},
    {status_class::protocol_change, "protocol_change"},
    {status_class::without_body, "without_body"},
    {status_class::with_body, "with_body"},
});
static_assert(is_ordered<status_class>());

/// The status in a status line that the grammar accepts.
int status_of(std::string_view status_line);

/// The class of a status from 100 to 599.
status_class class_of(int status);

} // namespace pomelohinge

#endif
