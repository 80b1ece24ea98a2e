#include "drivers/http/head_grammar.hpp"

#include <array>

namespace pomelohinge {
namespace {

constexpr std::size_t byte_values = 256;

constexpr unsigned char del = 0x7f;

constexpr bool is_between(
    unsigned char first, unsigned char it, unsigned char last)
{
    return first <= it && it <= last;
}

constexpr bool is_token(unsigned char it)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return is_between('0', it, '9') || is_between('A', it, 'Z') ||
        is_between('a', it, 'z') ||
        marks.find(static_cast<char>(it)) != std::string_view::npos;
}

constexpr bool contains(grammar_row const& row, unsigned char it)
{
    switch (row.bytes) {
    case byte_set::literal:
        return it == static_cast<unsigned char>(row.literal.front());
    case byte_set::cr:
        return it == '\r';
    case byte_set::lf:
        return it == '\n';
    case byte_set::space:
        return it == ' ';
    case byte_set::colon:
        return it == ':';
    case byte_set::zero_or_one:
        return is_between('0', it, '1');
    case byte_set::one_to_five:
        return is_between('1', it, '5');
    case byte_set::digit:
        return is_between('0', it, '9');
    case byte_set::token:
        return is_token(it);
    case byte_set::visible:
        return it > ' ' && it != del;
    case byte_set::text:
        return it == '\t' || (it >= ' ' && it != del);
    }
    return false;
}

/// For each place and byte, the number of the row that accepts it, counted from
/// 1; 0 if there is none.
using row_numbers =
    std::array<std::array<std::uint8_t, byte_values>, enum_count<head_place>>;

constexpr row_numbers index_rows()
{
    row_numbers numbers{};
    std::uint8_t number = 0;
    for (auto const& row : head_grammar) {
        ++number;
        for (std::size_t byte = 0; byte < byte_values; ++byte)
            if (contains(row, static_cast<unsigned char>(byte)))
                numbers[index_of(row.place)][byte] = number;
    }
    return numbers;
}

constexpr row_numbers rows = index_rows();

constexpr int first_final_status = 200;
constexpr int status_switching_protocols = 101;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

} // namespace

grammar_row const* find_row(head_place place, unsigned char byte)
{
    auto const number = rows[index_of(place)][byte];
    return number == 0 ? nullptr : &head_grammar[number - 1];
}

int status_of(std::string_view status_line)
{
    constexpr std::size_t digits = 3;
    int status = 0;
    for (char const it :
        status_line.substr(std::string_view("HTTP/1.1 ").size(), digits))
        status = 10 * status + (it - '0');
    return status;
}

status_class class_of(int status)
{
    if (status == status_switching_protocols)
        return status_class::protocol_change;
    if (status < first_final_status)
        return status_class::interim;
    return status == status_no_content || status == status_not_modified
        ? status_class::without_body
        : status_class::with_body;
}

} // namespace pomelohinge
