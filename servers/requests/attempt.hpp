#ifndef POMELOHINGE_SERVERS_REQUESTS_ATTEMPT_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ATTEMPT_HPP

#include "core/name_table.hpp"
#include "servers/buffers/buffer_budget.hpp"
#include "servers/requests/connection_history.hpp"
#include "servers/requests/refusal.hpp"
#include "servers/requests/request.hpp"
#include "servers/rollouts/evidence_log.hpp"
#include "servers/targets/target_catalogue.hpp"
#include "servers/targets/target_notice.hpp"

namespace pomelohinge {

/// How one attempt at a target ended.
enum class attempt_result {
    /// A complete answer that belongs to the request and is not a server error.
    answered,
    /// A complete answer with a server error: the request has run.
    server_error,
    /// The target is overloaded and reports that it has not run the request.
    shed,
    /// Another target answers at the address: the request has not run.
    misdirected,
    /// The connection could not be established.
    connect_failed,
    /// The connection was closed before the answer was complete.
    connection_lost,
    /// A reused connection was closed without any answer: the target has
    /// probably closed it before the request arrived.
    kept_connection_lost,
    /// No complete answer was received within the time limit.
    timed_out,
    /// The answer does not belong to this request.
    wrong_answer,
    /// The answer exceeds the size limit.
    too_large,
    /// This VM has cancelled the attempt.
    cancelled,
};

template <>
inline constexpr auto
    name_table<attempt_result> = make_name_table<attempt_result>({
        {attempt_result::answered, "answered"},
        {attempt_result::server_error, "server_error"},
        {attempt_result::shed, "shed"},
        {attempt_result::misdirected, "misdirected"},
        {attempt_result::connect_failed, "connect_failed"},
        {attempt_result::connection_lost, "connection_lost"},
        {attempt_result::kept_connection_lost, "kept_connection_lost"},
        {attempt_result::timed_out, "timed_out"},
        {attempt_result::wrong_answer, "wrong_answer"},
        {attempt_result::too_large, "too_large"},
        {attempt_result::cancelled, "cancelled"},
    });
static_assert(is_ordered<attempt_result>());

/// Whether the result proves that the target has not run the request and
/// never will.
constexpr bool proves_not_run(attempt_result it)
{
    return it == attempt_result::shed || it == attempt_result::misdirected ||
        it == attempt_result::connect_failed;
}

/// Whether the request arrived at the target, as far as the result shows.
constexpr bool reaches_target(attempt_result it)
{
    return it == attempt_result::answered ||
        it == attempt_result::server_error || it == attempt_result::shed ||
        it == attempt_result::connection_lost ||
        it == attempt_result::wrong_answer || it == attempt_result::too_large;
}

/// Whether the attempt ended with a complete answer that can be forwarded.
constexpr bool has_answer(attempt_result it)
{
    return it == attempt_result::answered || it == attempt_result::server_error;
}

/// Whether the time of the attempt is that of the target's work, or at least a
/// part of it.
constexpr bool shows_latency(attempt_result it)
{
    return has_answer(it) || it == attempt_result::timed_out ||
        it == attempt_result::cancelled;
}

/// How the attempt counts for or against the version of its target. A target
/// that is full, stops or cannot be reached shows nothing of its version.
constexpr evidence_kind evidence_of(attempt_result it)
{
    switch (it) {
    case attempt_result::answered:
        return evidence_kind::answered;
    case attempt_result::server_error:
    case attempt_result::connection_lost:
    case attempt_result::timed_out:
    case attempt_result::wrong_answer:
        return evidence_kind::failed;
    case attempt_result::cancelled:
        return evidence_kind::cancelled;
    default:
        return evidence_kind::none;
    }
}

/// An answer of an upstream.
struct upstream_answer
{
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
    /// The memory that a large answer holds.
    buffer_charge charge;
};

/// A request as it is sent to a target.
struct upstream_request
{
    std::string request_id;
    std::string method;
    std::string host;
    std::string path;
    std::vector<header_field> headers;
    shared_body body;
    organisation_id organisation;
    /// Time within which the target has to answer.
    duration time_limit{};
    bool idempotent = false;
    bool echoes_request_id = true;
};

/// Builds the request that is sent to a target.
upstream_request make_upstream_request(incoming_request const& message,
    admitted_request const& admitted, duration time_limit);

/// Returns the refusal for an attempt that ended with `result` and is not
/// repeated. `may_have_run` is whether any target may have run the request.
refusal refusal_after(attempt_result result, bool may_have_run);

/// The end of one attempt.
struct attempt_end
{
    attempt_result result = attempt_result::connect_failed;
    upstream_answer answer;
    /// What the target says of itself in the answer; empty if another target
    /// has given it.
    target_notice notice;
    connection_use use;
};

} // namespace pomelohinge

#endif
