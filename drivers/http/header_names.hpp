#ifndef POMELOHINGE_DRIVERS_HTTP_HEADER_NAMES_HPP
#define POMELOHINGE_DRIVERS_HTTP_HEADER_NAMES_HPP

#include <string_view>
#include <strings.h>

/// Names of the HTTP headers that the system reads or sets.
namespace pomelohinge::header {

inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view deadline = "Pomelohinge-Deadline-Ms";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view leaving = "Pomelohinge-Leaving";
inline constexpr std::string_view organisation = "Pomelohinge-Organisation";
inline constexpr std::string_view outcome = "Pomelohinge-Outcome";
inline constexpr std::string_view request_id = "X-Request-Id";
inline constexpr std::string_view retry_after = "Retry-After";

} // namespace pomelohinge::header

namespace pomelohinge {

/// Whether two header names are equal, ignoring case.
inline bool is_same_header(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
        strncasecmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace pomelohinge

#endif
