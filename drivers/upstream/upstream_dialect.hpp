#ifndef POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_DIALECT_HPP
#define POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_DIALECT_HPP

#include "servers/requests/attempt.hpp"

#include <concepts>
#include <string>

namespace pomelohinge {

/// How requests to upstreams are written and their answers understood.
template <class Dialect>
concept UpstreamDialect = requires(target_record const& target,
    upstream_order const& order, upstream_answer const& answer)
{
    /// Headers that the fleet itself adds, each as `Name: value\r\n`.
    {
        Dialect::added_headers(target, order)
        } -> std::same_as<std::string>;
    /// Whether the answer is one to this request.
    {
        Dialect::matches_request(answer, order)
        } -> std::same_as<bool>;
    /// What a whole answer that belongs to the request says of it.
    {
        Dialect::classify(answer)
        } -> std::same_as<attempt_result>;
};

/// The product's own way of speaking to upstreams; docs/UPSTREAMS.md.
struct native_upstream_dialect
{
    static std::string added_headers(
        target_record const& target, upstream_order const& order);
    static bool matches_request(
        upstream_answer const& answer, upstream_order const& order);
    static attempt_result classify(upstream_answer const& answer);
};

} // namespace pomelohinge

#endif
