#ifndef POMELOHINGE_SERVERS_REQUESTS_REFUSAL_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REFUSAL_HPP

#include "core/name_table.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace pomelohinge {

/// Whether a refused request may have run.
enum class outcome {
    /// No upstream has run the request, and none will.
    not_run,
    /// An upstream may have run the request.
    unknown,
};

template <>
inline constexpr auto name_table<outcome> = make_name_table<outcome>({
    {outcome::not_run, "not_run"},
    {outcome::unknown, "unknown"},
});
static_assert(is_ordered<outcome>());

/// Reason of a refusal.
enum class refusal_kind {
    malformed,
    key_missing,
    key_unknown,
    unknown_service,
    no_route,
    method_not_allowed,
    body_too_large,
    deadline_passed,
    rate_exceeded,
    /// No target has capacity in time.
    overloaded,
    /// The service has no target that may get the request.
    no_upstream,
    /// The request is suspected to crash targets.
    held_back,
    /// The first request with the idempotency key is still running.
    repeat_running,
    /// The first request with the idempotency key may have run.
    repeat_unknown,
    /// The idempotency key was used for a different request.
    repeat_differs,
    upstream_failed,
    answer_too_large,
    not_ready,
    stopping,
};

template <>
inline constexpr auto name_table<refusal_kind> = make_name_table<refusal_kind>({
    {refusal_kind::malformed, "malformed"},
    {refusal_kind::key_missing, "key_missing"},
    {refusal_kind::key_unknown, "key_unknown"},
    {refusal_kind::unknown_service, "unknown_service"},
    {refusal_kind::no_route, "no_route"},
    {refusal_kind::method_not_allowed, "method_not_allowed"},
    {refusal_kind::body_too_large, "body_too_large"},
    {refusal_kind::deadline_passed, "deadline_passed"},
    {refusal_kind::rate_exceeded, "rate_exceeded"},
    {refusal_kind::overloaded, "overloaded"},
    {refusal_kind::no_upstream, "no_upstream"},
    {refusal_kind::held_back, "held_back"},
    {refusal_kind::repeat_running, "repeat_running"},
    {refusal_kind::repeat_unknown, "repeat_unknown"},
    {refusal_kind::repeat_differs, "repeat_differs"},
    {refusal_kind::upstream_failed, "upstream_failed"},
    {refusal_kind::answer_too_large, "answer_too_large"},
    {refusal_kind::not_ready, "not_ready"},
    {refusal_kind::stopping, "stopping"},
});
static_assert(is_ordered<refusal_kind>());

/// An error answer of the proxy itself.
struct refusal
{
    refusal_kind kind = refusal_kind::malformed;
    outcome result = outcome::not_run;
    /// Human-readable explanation; never contains an API key.
    std::string detail;
    /// Delay after which a retry may succeed.
    std::optional<std::chrono::milliseconds> retry_after;
};

} // namespace pomelohinge

#endif
