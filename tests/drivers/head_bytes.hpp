#ifndef POMELOHINGE_TESTS_DRIVERS_HEAD_BYTES_HPP
#define POMELOHINGE_TESTS_DRIVERS_HEAD_BYTES_HPP

#include "core/name_table.hpp"

#include <string>
#include <string_view>

namespace pomelohinge {

/// Where a byte stands in the name or the value of a header.
enum class byte_position {
    first_of_name,
    middle_of_name,
    last_of_name,
    first_of_value,
    middle_of_value,
    last_of_value,
};

template <>
inline constexpr auto
    name_table<byte_position> = make_name_table<byte_position>({
        {byte_position::first_of_name, "first_of_name"},
        {byte_position::middle_of_name, "middle_of_name"},
        {byte_position::last_of_name, "last_of_name"},
        {byte_position::first_of_value, "first_of_value"},
        {byte_position::middle_of_value, "middle_of_value"},
        {byte_position::last_of_value, "last_of_value"},
    });
static_assert(is_ordered<byte_position>());

/// A header line with `byte` in one position, written independently of the
/// grammar that the code interprets (RFC 9110, section 5).
inline std::string header_with(byte_position position, int byte)
{
    std::string const it(1, static_cast<char>(byte));
    switch (position) {
    case byte_position::first_of_name:
        return it + "-Mark:1\r\n";
    case byte_position::middle_of_name:
        return "X" + it + "Mark:1\r\n";
    case byte_position::last_of_name:
        return "X-Mark" + it + ":1\r\n";
    case byte_position::first_of_value:
        return "X-Mark:" + it + "ab\r\n";
    case byte_position::middle_of_value:
        return "X-Mark:a" + it + "b\r\n";
    case byte_position::last_of_value:
        return "X-Mark:ab" + it + "\r\n";
    }
    return {};
}

inline bool is_token_byte(int byte)
{
    constexpr std::string_view tokens =
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"
        "abcdefghijklmnopqrstuvwxyz";
    return tokens.find(static_cast<char>(byte)) != std::string_view::npos;
}

inline bool is_text_byte(int byte)
{
    constexpr int del = 0x7f;
    return byte == '\t' || (byte >= ' ' && byte != del);
}

/// Whether RFC 9110 allows `byte` in this position. A colon behind the first
/// byte of a name ends the name.
inline bool is_allowed(byte_position position, int byte)
{
    switch (position) {
    case byte_position::first_of_name:
        return is_token_byte(byte);
    case byte_position::middle_of_name:
    case byte_position::last_of_name:
        return byte == ':' || is_token_byte(byte);
    default:
        return is_text_byte(byte);
    }
}

} // namespace pomelohinge

#endif
