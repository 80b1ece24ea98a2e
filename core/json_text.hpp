#ifndef POMELOHINGE_CORE_JSON_TEXT_HPP
#define POMELOHINGE_CORE_JSON_TEXT_HPP

#include "core/findings.hpp"
#include "core/text_map.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohinge {

/// Arrays and objects may be nested this deep.
inline constexpr std::size_t max_json_depth = 64;

/// A parsed JSON text with comments that gives the position of each value.
class json_document
{
public:
    nlohmann::json value;

    /// Position of the value at the JSON pointer `pointer`, or of its nearest
    /// existing ancestor. Positions are recorded by a second parse on the first
    /// call, because most texts have no findings and do not need them. Not
    /// thread-safe, because the positions are cached.
    text_position position_of(std::string_view pointer) const;

private:
    friend std::optional<json_document> parse_json_text(
        std::string_view text, findings& found);

    std::string text_;
    mutable std::optional<text_map<text_position>> positions_;
};

/// Parses JSON with comments. Syntax errors, duplicate keys and values that are
/// nested too deeply are added to `found`; the result is empty if there are
/// any.
std::optional<json_document> parse_json_text(
    std::string_view text, findings& found);

/// Escapes `key` for use as a token of a JSON pointer (RFC 6901).
std::string escape_pointer_token(std::string_view key);

} // namespace pomelohinge

#endif
