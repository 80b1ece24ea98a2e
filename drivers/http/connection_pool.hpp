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

/// How an exchange of a request and its answer ended.
enum class exchange_end {
    /// A whole answer came.
    answered,
    /// No connection was made; nothing was sent.
    connect_failed,
    /// The connection ended before the answer was whole.
    lost,
    /// A kept connection ended without any byte of an answer.
    kept_lost,
    timed_out,
    /// What came is no answer in the protocol.
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

/// A request in its encoded form.
struct exchange_call
{
    /// `IP:PORT`.
    std::string address;
    /// Request line and headers, up to and with the empty line.
    std::string head;
    std::string body;
    /// The answer to a HEAD request has no body.
    bool is_head = false;
    duration time_limit{};
    /// A connection that was idle for longer is not used; a request that may
    /// not run twice must not meet a target that closes it at that moment.
    duration longest_idle = duration::max();
    /// Whether an answer belongs to the request. One that does not is
    /// skipped: a target may answer an earlier request late.
    std::function<bool(upstream_answer const&)> matches_request;
    /// Largest body of the answer, in bytes.
    std::size_t max_answer_bytes = 4 << 20;
};

struct exchange_result
{
    exchange_end end = exchange_end::connect_failed;
    upstream_answer answer;
    bool reused = false;
};

/// HTTP/1.1 connections to upstreams on one thread, kept for further
/// requests. A request is written once and never again, whatever becomes of
/// its connection: what follows is for the caller to decide.
class connection_pool
{
public:
    using callback = std::function<void(exchange_result)>;

    explicit connection_pool(asio::io_context& context);
    ~connection_pool();
    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    /// Starts an exchange; the callback comes later, once.
    std::uint64_t start(exchange_call call, callback on_end);

    /// Ends an exchange early by closing its connection. Its callback does
    /// not come.
    void cancel(std::uint64_t id);

    /// Whether an idle connection to `address` is open.
    bool has_idle(std::string const& address) const;

    /// Closes connections that have been idle for too long.
    void close_expired();

    /// Idle time up to which kept connections have not been found lost
    /// lately.
    duration safe_idle() const;

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
