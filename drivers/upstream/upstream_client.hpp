#ifndef POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_CLIENT_HPP
#define POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_CLIENT_HPP

#include "drivers/http/connection_pool.hpp"
#include "drivers/http/curl_loop.hpp"
#include "drivers/upstream/upstream_dialect.hpp"

#include <memory>

namespace pomelohinge {

/// Encodes the request line and headers of `request`. `added_headers` are those
/// that the dialect adds, as encoded lines.
std::string encode_head(
    upstream_request const& request, std::string const& added_headers);

/// The result of an attempt whose exchange ended without an answer.
attempt_result to_attempt_result(exchange_end end);

/// Sends requests to upstreams over HTTP.
template <UpstreamDialect Dialect>
class upstream_client
{
public:
    /// An answer whose body exceeds `max_answer_bytes` ends the attempt with
    /// `too_large`.
    /// Large answers are charged to `buffers`; see `connection_pool`.
    upstream_client(asio::io_context& context, buffer_budget& buffers,
        std::size_t max_answer_bytes)
        : pool_(context, buffers), max_answer_bytes_(max_answer_bytes)
    {
    }

    /// Sends `request` to the target and returns its id for `cancel`. `on_end`
    /// is called once, after this call has returned.
    std::uint64_t send(target_record const& target, upstream_request request,
        std::function<void(attempt_end)> on_end)
    {
        if (request.host.empty())
            request.host = target.address;
        auto const sent =
            std::make_shared<upstream_request>(std::move(request));
        exchange_call call;
        call.address = target.address;
        call.head = encode_head(*sent, Dialect::added_headers(target, *sent));
        call.body = std::move(sent->body);
        call.is_head = sent->method == "HEAD";
        call.timeout = sent->time_limit;
        if (!sent->idempotent)
            call.max_idle = max_idle_non_idempotent;
        call.request_id = trimmed(sent->request_id);
        call.names_required = sent->echoes_request_id;
        call.named_request = &Dialect::named_request;
        call.max_answer_bytes = max_answer_bytes_;
        return pool_.start(
            std::move(call), [on_end = std::move(on_end)](exchange_result it) {
                attempt_end end;
                end.use = it.use;
                end.result = it.end == exchange_end::answered
                    ? Dialect::classify(it.answer)
                    : to_attempt_result(it.end);
                // A misdirected request was answered by another target.
                if (it.end == exchange_end::answered &&
                    end.result != attempt_result::misdirected)
                    end.notice = Dialect::read_notice(it.answer);
                end.answer = std::move(it.answer);
                on_end(std::move(end));
            });
    }

    /// Aborts an attempt by closing its connection. Its callback is not
    /// called.
    void cancel(std::uint64_t id) { pool_.cancel(id); }

    /// Whether an idle connection to `address` is open.
    bool is_connected(std::string const& address) const
    {
        return pool_.has_idle_connection(address);
    }

    /// Closes connections that have been idle for longer than their idle
    /// timeout.
    void close_expired() { pool_.close_expired(); }

private:
    /// A request that must not run twice is sent on a reused connection only if
    /// that was idle for at most this time: if the upstream closes the
    /// connection while the request is sent, it is unknown whether the request
    /// has run.
    static constexpr duration max_idle_non_idempotent =
        std::chrono::milliseconds(2000);

    connection_pool pool_;
    std::size_t max_answer_bytes_;
};

} // namespace pomelohinge

#endif
