#ifndef POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_CLIENT_HPP
#define POMELOHINGE_DRIVERS_UPSTREAM_UPSTREAM_CLIENT_HPP

#include "drivers/http/connection_pool.hpp"
#include "drivers/upstream/upstream_dialect.hpp"

#include <memory>

namespace pomelohinge {

/// The request line and headers of `order`, with those of the dialect.
std::string write_head(
    upstream_order const& order, std::string const& added_headers);

/// What became of an attempt whose exchange did not bring an answer.
attempt_result result_of(exchange_end end);

/// Sends requests to upstreams over HTTP.
template <UpstreamDialect Dialect>
class upstream_client
{
public:
    /// Answers with a larger body than `max_answer_bytes` are not taken.
    upstream_client(asio::io_context& context, std::size_t max_answer_bytes)
        : pool_(context), most_answer_bytes_(max_answer_bytes)
    {
    }

    /// Sends `order` to the target. Returns the number for `cancel`.
    std::uint64_t send(target_record const& target, upstream_order order,
        std::function<void(attempt_end)> on_end)
    {
        if (order.host.empty())
            order.host = target.address;
        auto const sent = std::make_shared<upstream_order>(std::move(order));
        exchange_call call;
        call.address = target.address;
        call.head = write_head(*sent, Dialect::added_headers(target, *sent));
        call.body = std::move(sent->body);
        call.is_head = sent->method == "HEAD";
        call.time_limit = sent->time_limit;
        if (!sent->idempotent)
            call.longest_idle = careful_idle;
        call.matches_request = [sent](upstream_answer const& answer) {
            return Dialect::matches_request(answer, *sent);
        };
        call.max_answer_bytes = most_answer_bytes_;
        return pool_.start(
            std::move(call), [on_end = std::move(on_end)](exchange_result it) {
                attempt_end end;
                end.reused = it.reused;
                end.result = it.end == exchange_end::answered
                    ? Dialect::classify(it.answer)
                    : result_of(it.end);
                end.answer = std::move(it.answer);
                on_end(std::move(end));
            });
    }

    void cancel(std::uint64_t id) { pool_.cancel(id); }

    bool is_connected(std::string const& address) const
    {
        return pool_.has_idle(address);
    }

    void close_expired() { pool_.close_expired(); }

private:
    /// A request that must not run twice goes over a kept connection only if
    /// that was used within this time: an upstream that closes it at the
    /// same moment leaves open whether the request has run.
    static constexpr duration careful_idle = std::chrono::milliseconds(2000);

    connection_pool pool_;
    std::size_t most_answer_bytes_;
};

} // namespace pomelohinge

#endif
