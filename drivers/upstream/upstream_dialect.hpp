#ifndef POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_DIALECT_HPP
#define POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_DIALECT_HPP

#include "servers/requests/attempt.hpp"

#include <concepts>
#include <string>
#include <string_view>

namespace pomelohinge {

/// The HTTP interface of upstreams: which headers are added to requests, and
/// how answers are interpreted.
template <class Dialect>
concept UpstreamDialect = requires(target_record const& target,
    upstream_request const& request, upstream_answer const& answer)
{
    /// Headers that the fleet adds to a request, each as `Name: value\r\n`.
    {
        Dialect::added_headers(target, request)
        } -> std::same_as<std::string>;
    /// The id of the request that the answer names; empty if it names none. If
    /// it names several, the result is the id of no request.
    {
        Dialect::named_request(answer)
        } -> std::same_as<std::string>;
    /// The result of an attempt that ended with this complete answer, which
    /// names no request but its own.
    {
        Dialect::classify(answer)
        } -> std::same_as<attempt_result>;
    /// What the answer says of the target that has given it.
    {
        Dialect::read_notice(answer)
        } -> std::same_as<target_notice>;
};

/// Reads the notice of an answer whose header `leaving_header` is `1` if the
/// target shuts down, and whose header `Retry-After` asks for a pause, in
/// seconds with an optional fraction, if its status is 503.
target_notice read_notice(
    upstream_answer const& answer, std::string_view leaving_header);

/// The id of the request that the answer names in `id_header`; see
/// `UpstreamDialect`.
std::string named_request(
    upstream_answer const& answer, std::string_view id_header);

/// Whether the header occurs more than once in the answer, with different
/// values, so that none of them can be relied on.
bool has_conflicting_header(
    upstream_answer const& answer, std::string_view name);

/// The project's own HTTP interface for upstreams; see docs/UPSTREAMS.md.
struct native_upstream_dialect
{
    static std::string added_headers(
        target_record const& target, upstream_request const& request);
    static std::string named_request(upstream_answer const& answer);
    static attempt_result classify(upstream_answer const& answer);
    static target_notice read_notice(upstream_answer const& answer);
};

} // namespace pomelohinge

#endif
