#ifndef POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_DIALECT_HPP
#define POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_DIALECT_HPP

#include "servers/requests/attempt.hpp"

#include <concepts>
#include <string>

namespace pomelohinge {

/// The HTTP interface of upstreams: which headers are added to requests, and
/// how answers are interpreted.
template <class Dialect>
concept UpstreamDialect = requires(target_record const& target,
    upstream_request const& order, upstream_answer const& answer)
{
    /// Headers that the fleet adds to a request, each as `Name: value\r\n`.
    {
        Dialect::added_headers(target, order)
        } -> std::same_as<std::string>;
    /// Whether the answer is one to this request, by its headers.
    {
        Dialect::matches_request(answer, order)
        } -> std::same_as<bool>;
    /// The result of an attempt that got this complete answer.
    {
        Dialect::classify(answer)
        } -> std::same_as<attempt_result>;
};

/// The project's own HTTP interface for upstreams; see docs/UPSTREAMS.md.
struct native_upstream_dialect
{
    static std::string added_headers(
        target_record const& target, upstream_request const& order);
    static bool matches_request(
        upstream_answer const& answer, upstream_request const& order);
    static attempt_result classify(upstream_answer const& answer);
};

} // namespace pomelohinge

#endif
