#ifndef POMELOHINGE_CONFIG_OBJECT_CODEC_HPP
#define POMELOHINGE_CONFIG_OBJECT_CODEC_HPP

#include "config/objects.hpp"
#include "core/object_reader.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohinge {

/// Reads the body of an object of `kind` at the JSON pointer `pointer`. Errors
/// are added to `found`; the result is empty if there are any.
std::optional<any_object> decode_object(object_kind kind,
    json_document const& document, std::string const& pointer, findings& found);

/// Returns the canonical body: fields in a fixed order, most optional fields
/// left out if they have the default value.
nlohmann::ordered_json encode_object(any_object const& object);

/// Returns `hash` as lower-case hexadecimal digits.
std::string to_hex(key_hash const& hash);

/// Parses 64 hexadecimal digits; empty if `text` is anything else.
std::optional<key_hash> key_hash_from_hex(std::string_view text);

/// Whether `text` is a valid object name: 1 to 63 characters of a-z, 0-9, "-"
/// and "_", of which the first is a letter or digit.
bool is_object_name(std::string_view text);

/// Whether `text` has the form `IPV4:PORT`.
bool is_ip_endpoint(std::string_view text);

} // namespace pomelohinge

#endif
