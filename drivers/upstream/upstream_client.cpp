#include "drivers/upstream/upstream_client.hpp"

#include "core/invariant.hpp"
#include "drivers/http/header_names.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

constexpr duration connect_timeout = std::chrono::milliseconds(500);
constexpr duration probe_timeout = std::chrono::seconds(1);

/// A kept connection may stay silent for this multiple of the service's
/// median, or so long if that is not known.
constexpr int patience_factor = 4;
constexpr duration shortest_patience = std::chrono::milliseconds(250);
constexpr duration default_patience = std::chrono::seconds(1);

constexpr char const* health_path = "/health";

duration patience_for(dispatch_order const& order)
{
    if (order.baseline.median <= duration::zero())
        return default_patience;
    return std::max(order.baseline.median * patience_factor, shortest_patience);
}

attempt_result result_of(http_end end)
{
    switch (end) {
    case http_end::answered:
        return attempt_result::answered;
    case http_end::not_sent:
        return attempt_result::connect_failed;
    case http_end::timed_out:
        return attempt_result::timed_out;
    case http_end::lost:
        return attempt_result::connection_lost;
    case http_end::too_large:
        return attempt_result::too_large;
    case http_end::cancelled:
        return attempt_result::cancelled;
    }
    return attempt_result::connection_lost;
}

attempt_result judge_status(http_result const& result)
{
    constexpr int service_unavailable = 503;
    constexpr int first_server_error = 500;
    if (result.status == service_unavailable &&
        find_header(result.headers, header::outcome) ==
            to_name(outcome::not_run))
        return attempt_result::shed;
    return result.status >= first_server_error ? attempt_result::server_error
                                               : attempt_result::answered;
}

} // namespace

attempt_end judge_answer(
    http_result result, std::string const& request_id, bool must_echo)
{
    attempt_end end;
    end.result = result_of(result.end);
    if (end.result != attempt_result::answered)
        return end;
    auto const echo = find_header(result.headers, header::request_id);
    bool const belongs = echo.empty() ? !must_echo : echo == request_id;
    if (!belongs) {
        end.result = attempt_result::wrong_answer;
        return end;
    }
    end.result = judge_status(result);
    end.answer.status = result.status;
    end.answer.headers = std::move(result.headers);
    end.answer.body = std::move(result.body);
    return end;
}

std::uint64_t upstream_client::send(target_object const& target,
    dispatch_order const& order, std::function<void(attempt_end)> on_end)
{
    http_call call;
    call.method = std::string(to_name(order.method));
    call.url = "http://" + target.address + order.path;
    call.headers = order.headers;
    call.headers.push_back({std::string(header::request_id), order.request_id});
    call.headers.push_back({std::string(header::deadline),
        std::to_string(to_milliseconds(order.remaining))});
    if (!order.organisation.empty())
        call.headers.push_back(
            {std::string(header::organisation), order.organisation.text()});
    call.body = order.body;
    call.timeout = order.remaining;
    call.connect_timeout = std::min(connect_timeout, order.remaining);
    call.fresh_connection = !order.idempotent;
    if (order.idempotent)
        call.kept_connection_patience = patience_for(order);
    call.most_answer_bytes = most_answer_bytes_;
    return http_.start(std::move(call),
        [on_end = std::move(on_end), request_id = order.request_id,
            must_echo = order.echoes_request_id](http_result result) {
            on_end(judge_answer(std::move(result), request_id, must_echo));
        });
}

void upstream_client::probe(
    std::string const& address, std::function<void(bool)> on_end)
{
    http_call call;
    call.url = "http://" + address + health_path;
    call.timeout = probe_timeout;
    call.connect_timeout = connect_timeout;
    call.fresh_connection = true;
    http_.start(std::move(call),
        [on_end = std::move(on_end)](http_result const& result) {
            constexpr int ok = 200;
            on_end(result.end == http_end::answered && result.status == ok);
        });
}

} // namespace pomelohinge
