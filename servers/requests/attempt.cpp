#include "servers/requests/attempt.hpp"

namespace pomelohinge {
namespace {

/// When a request that no target has run is worth another try.
constexpr std::chrono::milliseconds retry_after_failure{1000};

} // namespace

upstream_request make_order(incoming_request const& message,
    admitted_request const& admitted, duration time_limit)
{
    upstream_request order;
    order.request_id = message.head.request_id;
    order.method = message.head.method;
    order.host = message.head.host;
    order.path = admitted.path;
    order.organisation = admitted.organisation;
    order.time_limit = time_limit;
    order.idempotent = admitted.idempotent;
    order.echoes_request_id = admitted.echoes_request_id;
    order.headers = message.headers;
    order.body = message.body;
    return order;
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
