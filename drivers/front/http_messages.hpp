#ifndef POMELOHINGE_DRIVERS_FRONT_HTTP_MESSAGES_HPP
#define POMELOHINGE_DRIVERS_FRONT_HTTP_MESSAGES_HPP

#include "drivers/front/front_dialect.hpp"

#include <string>
#include <string_view>
#include <vector>

/// Parsing of callers' HTTP requests and encoding of the responses to them.
namespace pomelohinge {

/// The HTTP status of a refusal; it depends on the kind only.
int status_of(refusal const& refused);

/// The body of a refusal in the format `application/problem+json`.
std::string problem_body(refusal const& refused);

/// The SHA-256 hash of a caller's key.
key_hash hash_key(std::string_view key);

/// Whether a header applies to one connection only and must not be forwarded.
bool is_hop_by_hop(std::string_view name);

/// Parses a whole number of milliseconds; `nullopt` if `text` is not a number.
std::optional<std::chrono::milliseconds> parse_milliseconds(
    std::string_view text);

/// Creates a random id (32 hexadecimal digits) for a request without one.
std::string make_request_id();

/// The project's own HTTP interface for callers; see docs/CALLERS.md.
struct native_front_dialect
{
    static constexpr bool entries_at_front = true;

    static parsed_head parse(std::string const& method,
        std::string const& target, std::vector<header_field> const& headers);
    static refusal_response encode_refusal(
        refusal const& refused, std::string const& request_id);
    static bool forwards_header(std::string_view name);
    static std::vector<header_field> answer_headers(
        std::string const& request_id);
    static std::optional<data_centre_id> entry_question(
        std::string const& target);
    static std::string encode_entry_answer(entry_answer const& answer);
};

} // namespace pomelohinge

#endif
