#ifndef POMELOHINGE_CORE_LATIN1_HPP
#define POMELOHINGE_CORE_LATIN1_HPP

#include <optional>
#include <string>
#include <string_view>

namespace pomelohinge {

/// Reads `bytes` as ISO 8859-1 and returns it as UTF-8, so that any bytes, such
/// as those of a header, can be a string of a JSON text.
inline std::string latin1_to_utf8(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (char const it : bytes) {
        auto const code = static_cast<unsigned char>(it);
        if (code < 0x80) {
            text += it;
        } else {
            text += static_cast<char>(0xc0 | (code >> 6));
            text += static_cast<char>(0x80 | (code & 0x3f));
        }
    }
    return text;
}

/// The inverse of `latin1_to_utf8`; empty if a character is not of ISO 8859-1.
inline std::optional<std::string> utf8_to_latin1(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n) {
        auto const code = static_cast<unsigned char>(text[n]);
        if (code < 0x80) {
            bytes += text[n];
            continue;
        }
        constexpr unsigned lead_c2 = 0xc2;
        constexpr unsigned lead_c3 = 0xc3;
        if ((code != lead_c2 && code != lead_c3) || n + 1 == text.size())
            return std::nullopt;
        auto const next = static_cast<unsigned char>(text[++n]);
        if ((next & 0xc0) != 0x80)
            return std::nullopt;
        bytes += static_cast<char>(((code & 0x03) << 6) | (next & 0x3f));
    }
    return bytes;
}

} // namespace pomelohinge

#endif
