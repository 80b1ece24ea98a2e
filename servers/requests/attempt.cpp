#include "servers/requests/attempt.hpp"

namespace pomelohinge {
namespace {

/// Retry delay that a refusal carries if no target has run the request.
constexpr std::chrono::milliseconds retry_after_failure{1000};

} // namespace

upstream_request make_upstream_request(incoming_request const& message,
    admitted_request const& admitted, duration time_limit)
{
    upstream_request request;
    request.request_id = message.head.request_id;
    request.method = message.head.method;
    request.host = message.head.host;
    request.path = admitted.path;
    request.organisation = admitted.organisation;
    request.time_limit = time_limit;
    request.idempotent = admitted.idempotent;
    request.echoes_request_id = admitted.echoes_request_id;
    request.headers = message.headers;
    request.body = message.body;
    return request;
}

refusal refusal_after(attempt_result result, bool may_have_run)
{
    if (result == attempt_result::timed_out)
        return {refusal_kind::deadline_passed, outcome::unknown,
            "the target did not answer in time", {}};
    auto const detail = "the attempt ended as " + std::string(to_name(result));
    if (may_have_run)
        return {refusal_kind::upstream_failed, outcome::unknown, detail, {}};
    return {refusal_kind::overloaded, outcome::not_run, detail,
        retry_after_failure};
}

} // namespace pomelohinge
