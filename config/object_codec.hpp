#ifndef POMELOHINGE_CONFIG_OBJECT_CODEC_HPP
#define POMELOHINGE_CONFIG_OBJECT_CODEC_HPP

#include "config/objects.hpp"
#include "core/object_reader.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pomelohinge {

/// Reads the body of an object of `kind` at `pointer`. Problems are added to
/// `found`; the result is empty if there was any.
std::optional<any_object> decode_object(object_kind kind,
    json_document const& document, std::string const& pointer, findings& found);

/// The canonical body: fixed order of fields, defaults left out.
nlohmann::ordered_json encode_object(any_object const& object);

/// Lower-case hexadecimal digits of `hash`.
std::string to_hex(key_hash const& hash);

/// Reads 64 hexadecimal digits.
std::optional<key_hash> key_hash_from_hex(std::string_view text);

/// Whether `text` is a name: 1 to 63 of a-z, 0-9, "-" and "_", first a
/// letter or digit.
bool is_object_name(std::string_view text);

/// Whether `text` is `IPV4:PORT`.
bool is_ip_endpoint(std::string_view text);

} // namespace pomelohinge

#endif
