#ifndef POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_DIALECT_HPP
#define POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_DIALECT_HPP

#include "servers/requests/attempt.hpp"

#include <concepts>
#include <string>

namespace pomelohinge {

/// How requests to upstreams are written and their answers understood.
template <class Dialect>
concept UpstreamDialect = requires(target_record const& target,
    upstream_request const& order, upstream_answer const& answer)
{
    /// Headers that the fleet itself adds, each as `Name: value\r\n`.
    {
        Dialect::own_headers(target, order)
        } -> std::same_as<std::string>;
    /// Whether the answer is one to this request.
    {
        Dialect::belongs(answer, order)
        } -> std::same_as<bool>;
    /// What a whole answer that belongs to the request says of it.
    {
        Dialect::judge(answer)
        } -> std::same_as<attempt_result>;
};

/// The product's own way of speaking to upstreams; docs/UPSTREAMS.md.
struct product_upstream_dialect
{
    static std::string own_headers(
        target_record const& target, upstream_request const& order);
    static bool belongs(
        upstream_answer const& answer, upstream_request const& order);
    static attempt_result judge(upstream_answer const& answer);
};

} // namespace pomelohinge

#endif
