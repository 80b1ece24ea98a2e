#ifndef POMELOHINGE_DRIVERS_HTTP_CONNECTION_POOL_HPP
#define POMELOHINGE_DRIVERS_HTTP_CONNECTION_POOL_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"
#include "servers/requests/attempt.hpp"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace pomelohinge {

/// How the exchange of a request and its answer ended.
enum class exchange_end {
    /// A complete answer was received.
    answered,
    /// No connection was established; nothing was sent.
    connect_failed,
    /// The connection ended before the answer was complete.
    lost,
    /// A reused connection ended before any byte of an answer was received, and
    /// the target has probably closed it while it was idle.
    kept_lost,
    timed_out,
    /// The received bytes are not a valid HTTP answer, or it cannot be told
    /// that the answer belongs to this request.
    unparsable,
    too_large,
    cancelled,
};

template <>
inline constexpr auto name_table<exchange_end> = make_name_table<exchange_end>({
    {exchange_end::answered, "answered"},
    {exchange_end::connect_failed, "connect_failed"},
    {exchange_end::lost, "lost"},
    {exchange_end::kept_lost, "kept_lost"},
    {exchange_end::timed_out, "timed_out"},
    {exchange_end::unparsable, "unparsable"},
    {exchange_end::too_large, "too_large"},
    {exchange_end::cancelled, "cancelled"},
});
static_assert(is_ordered<exchange_end>());

/// An encoded request and the limits on its exchange.
struct exchange_call
{
    /// `IP:PORT`.
    std::string address;
    /// Request line and headers, including the final empty line.
    std::string head;
    shared_body body;
    /// The answer to a HEAD request has no body.
    bool is_head = false;
    /// Time limit of the whole exchange, including connecting.
    duration timeout{};
    /// Connections that were idle for longer are not reused. A request that
    /// must not run twice needs a short limit: if the target closes the
    /// connection while the request is sent, it is unknown whether it has run.
    duration max_idle = duration::max();
    /// Id of the request. No connection carries an id twice.
    std::string request_id;
    /// The id of the request that an answer names; empty if it names none.
    std::function<std::string(upstream_answer const&)> named_request;
    /// Whether each answer of the target names its request.
    bool names_required = false;
    /// Limit on the body of the answer.
    std::size_t max_answer_bytes = 4 << 20;
};

struct exchange_result
{
    exchange_end end = exchange_end::connect_failed;
    upstream_answer answer;
    connection_use use;
};

/// HTTP/1.1 connections to upstreams on one thread, which are reused for
/// further requests. The pool writes each request at most once, even if its
/// connection is lost; the caller of the pool decides about retries.
class connection_pool
{
public:
    using callback = std::function<void(exchange_result)>;

    /// Large answers are charged to `buffers`, which must outlive the pool and
    /// the answers. While it has no room for an answer, its connection is not
    /// read.
    connection_pool(asio::io_context& context, buffer_budget& buffers);
    ~connection_pool();
    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    /// Starts an exchange and returns its id for `cancel`. The callback is
    /// called once, after this call has returned.
    std::uint64_t start(exchange_call call, callback on_end);

    /// Aborts an exchange by closing its connection. Its callback is not
    /// called.
    void cancel(std::uint64_t id);

    /// Whether the pool holds an idle connection to `address`.
    bool has_idle_connection(std::string const& address) const;

    /// Closes connections that have been idle for longer than their idle
    /// timeout.
    void close_expired();

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
