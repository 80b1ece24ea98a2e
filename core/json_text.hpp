#ifndef POMELOHINGE_CORE_JSON_TEXT_HPP
#define POMELOHINGE_CORE_JSON_TEXT_HPP

#include "core/findings.hpp"
#include "core/text_map.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohinge {

/// A parsed JSON text with comments that can tell where each value stands.
class json_document
{
public:
    nlohmann::json value;

    /// The place of the value at `pointer`, or of its nearest parent. The
    /// first call reads the text again, so that texts without findings do
    /// not pay for places.
    text_position position_of(std::string_view pointer) const;

private:
    friend std::optional<json_document> parse_json_text(
        std::string_view text, findings& found);

    std::string text_;
    mutable std::optional<text_map<text_position>> places_;
};

/// Parses JSON with comments. Syntax errors and duplicate keys are added to
/// `found`; the result is empty if there was any.
std::optional<json_document> parse_json_text(
    std::string_view text, findings& found);

/// Escapes one key for use in a JSON pointer (RFC 6901).
std::string escape_pointer_token(std::string_view key);

} // namespace pomelohinge

#endif
