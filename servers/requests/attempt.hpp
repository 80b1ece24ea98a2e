#ifndef POMELOHINGE_SERVERS_REQUESTS_ATTEMPT_HPP
#define POMELOHINGE_SERVERS_REQUESTS_ATTEMPT_HPP

#include "core/name_table.hpp"
#include "servers/requests/refusal.hpp"
#include "servers/requests/request.hpp"
#include "servers/targets/target_catalogue.hpp"

namespace pomelohinge {

/// How one attempt at a target ended.
enum class attempt_result {
    /// A whole answer that belongs to the request; not a server error.
    answered,
    /// A whole answer with a server error: the request has run.
    server_error,
    /// The target says that it has not run the request: it is full.
    shed,
    /// Another target has the address: the request has not run.
    misdirected,
    /// No connection was made.
    connect_failed,
    /// The connection ended before the answer was whole.
    connection_lost,
    /// A kept connection was lost without any answer: the target may have
    /// closed it before the request came.
    kept_connection_lost,
    timed_out,
    /// What came is no answer to this request.
    wrong_answer,
    too_large,
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

/// Whether the request has certainly not run at the target, nor will.
constexpr bool proves_not_run(attempt_result it)
{
    return it == attempt_result::shed || it == attempt_result::misdirected ||
        it == attempt_result::connect_failed;
}

/// Whether a whole answer came that can be passed on.
constexpr bool has_answer(attempt_result it)
{
    return it == attempt_result::answered || it == attempt_result::server_error;
}

/// What an upstream answered.
struct upstream_answer
{
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
};

/// One request as it is sent to a target.
struct upstream_request
{
    std::string request_id;
    std::string method;
    std::string host;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    organisation_id organisation;
    /// Time that the target has.
    duration time_limit{};
    bool idempotent = false;
    bool echoes_request_id = true;
};

/// What a target gets of a request, with the time that it has.
upstream_request make_order(incoming_request const& message,
    admitted_request const& admitted, duration time_limit);

/// What a caller is told if an attempt that ended so is not repeated.
/// `may_have_run` tells whether any attempt may have run.
refusal refusal_after(attempt_result result, bool may_have_run);

/// The end of one attempt.
struct attempt_end
{
    attempt_result result = attempt_result::connect_failed;
    upstream_answer answer;
    /// Over a connection that had carried requests before.
    bool reused = false;
};

} // namespace pomelohinge

#endif
