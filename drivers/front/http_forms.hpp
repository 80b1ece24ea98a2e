#ifndef POMELOHINGE_DRIVERS_FRONT_HTTP_FORMS_HPP
#define POMELOHINGE_DRIVERS_FRONT_HTTP_FORMS_HPP

#include "servers/entries/entry_answer.hpp"
#include "servers/requests/refusal.hpp"
#include "servers/requests/request.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Between requests and refusals and their HTTP forms.
namespace pomelohinge {

/// The HTTP status of a refusal.
int status_of(refusal_kind kind);

/// The body of a refusal, `application/problem+json`.
std::string problem_body(refusal const& refused);

/// The body of an entry answer.
std::string entries_body(entry_answer const& answer);

/// SHA-256 of a caller's key.
key_hash hash_key(std::string_view key);

/// What the headers of a request say.
struct parsed_headers
{
    std::optional<key_hash> key;
    std::string request_id;
    std::string repeat_key;
    std::optional<std::chrono::milliseconds> deadline;
    /// Headers that are passed on.
    std::vector<header_field> passed;
};

/// Reads the headers of a request. A header that is given a meaning and
/// occurs twice, or has no valid value, makes the request malformed.
std::variant<parsed_headers, refusal> parse_headers(
    std::vector<header_field> const& headers);

/// Whether a header concerns one connection only and is not passed on.
bool is_hop_by_hop(std::string_view name);

} // namespace pomelohinge

#endif
