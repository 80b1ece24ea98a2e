#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP

#include "servers/requests/request_pipeline.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace pomelohinge {

/// The state of one caller's connection. RESTinio neither notifies request
/// handlers when a caller closes its connection nor lets them answer a request
/// that it cannot parse; this class detects both. It is used on the
/// connection's traffic thread only, and shared by the socket and the requests
/// received on it.
class connection_state
{
public:
    /// Marks the bytes received so far as those of a complete request.
    void mark_received() { unhandled_bytes_ = 0; }

    /// Registers a request that runs and returns its id. `on_closed` is called
    /// if the caller closes the connection before `end_request`.
    std::uint64_t begin_request(std::function<void()> on_closed)
    {
        auto const id = ++last_id_;
        if (!closed_)
            on_closed_.emplace(id, std::move(on_closed));
        return id;
    }

    /// Unregisters a request, so that its `on_closed` is no longer called.
    void end_request(std::uint64_t id) { on_closed_.erase(id); }

    /// When the requests received on the connection start.
    request_pipeline& pipeline() { return pipeline_; }

    /// Whether the caller has closed the connection.
    bool is_closed() const { return closed_; }

    /// Counts received bytes until a request handler has taken them.
    void add_received(std::size_t bytes) { unhandled_bytes_ += bytes; }

    /// Marks the connection as closed by the caller and calls `on_closed` of
    /// every registered request, unless it is unregistered by another one's.
    void mark_closed_by_caller()
    {
        closed_ = true;
        pipeline_.stop();
        while (!on_closed_.empty())
            on_closed_.extract(on_closed_.begin()).mapped()();
    }

    /// Whether the caller has not closed the connection, no request is
    /// unanswered and bytes were received that no request handler has taken.
    /// If the server closes the connection in this state, it has rejected a
    /// request without an answer.
    bool needs_refusal() const
    {
        return !closed_ && pipeline_.empty() && unhandled_bytes_ > 0;
    }

    /// The connection whose socket handler is running on this thread; null
    /// outside of socket handlers.
    static std::shared_ptr<connection_state>& current()
    {
        thread_local std::shared_ptr<connection_state> state;
        return state;
    }

private:
    std::uint64_t last_id_ = 0;
    std::size_t unhandled_bytes_ = 0;
    bool closed_ = false;
    std::map<std::uint64_t, std::function<void()>> on_closed_;
    request_pipeline pipeline_;
};

/// The complete HTTP response to a request that cannot be parsed.
std::string const& unparsable_refusal();

/// The stream socket that RESTinio uses for callers. It keeps the
/// `connection_state` up to date and refuses requests that cannot be parsed.
class front_socket : public asio::ip::tcp::socket
{
public:
    using base = asio::ip::tcp::socket;

    explicit front_socket(asio::io_context& context)
        : base(context), state_(std::make_shared<connection_state>())
    {
    }
    /// RESTinio accepts the next connection into the moved-from socket, so
    /// the moved-from socket gets a new state.
    front_socket(front_socket&& other) noexcept
        : base(std::move(other)), state_(std::exchange(other.state_,
                                      std::make_shared<connection_state>()))
    {
    }
    front_socket& operator=(front_socket&& other) noexcept
    {
        state_ =
            std::exchange(other.state_, std::make_shared<connection_state>());
        base::operator=(std::move(other));
        return *this;
    }

    template <class Buffers, class Handler>
    void async_read_some(Buffers const& buffers, Handler&& handler)
    {
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        base::async_read_some(buffers,
            asio::bind_executor(executor,
                [state = state_, handler = std::forward<Handler>(handler)](
                    asio::error_code const& ec, std::size_t bytes) mutable {
                    state->add_received(bytes);
                    {
                        current_connection_scope const scope(state);
                        handler(ec, bytes);
                    }
                    if (ec && ec != asio::error::operation_aborted)
                        state->mark_closed_by_caller();
                }));
    }

    /// When a write ends, RESTinio may pass a pipelined request that it has
    /// already read to its handler.
    template <class Buffers, class Handler>
    void async_write_some(Buffers const& buffers, Handler&& handler)
    {
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        base::async_write_some(buffers,
            asio::bind_executor(executor,
                [state = state_, handler = std::forward<Handler>(handler)](
                    asio::error_code const& ec, std::size_t bytes) mutable {
                    current_connection_scope const scope(state);
                    handler(ec, bytes);
                }));
    }

    /// RESTinio calls this before it closes a connection, so a refusal can
    /// still be sent here.
    void shutdown(shutdown_type type, asio::error_code& ec)
    {
        if (state_->needs_refusal())
            refuse_unparsable();
        base::shutdown(type, ec);
    }

private:
    /// Makes a connection the current one while a socket handler runs.
    class current_connection_scope
    {
    public:
        explicit current_connection_scope(
            std::shared_ptr<connection_state> state)
            : previous_(
                  std::exchange(connection_state::current(), std::move(state)))
        {
        }
        ~current_connection_scope() { connection_state::current() = previous_; }

    private:
        std::shared_ptr<connection_state> previous_;
    };

    void refuse_unparsable()
    {
        asio::error_code ec;
        base::non_blocking(true, ec);
        base::write_some(asio::buffer(unparsable_refusal()), ec);
        base::shutdown(shutdown_send, ec);
        // Closing a socket with unread bytes sends a reset, which may discard
        // the refusal before the caller has read it.
        constexpr std::size_t max_reads = 64;
        std::array<char, 16384> buf;
        for (std::size_t n = 0; n < max_reads && !ec; ++n)
            base::read_some(asio::buffer(buf), ec);
    }

    std::shared_ptr<connection_state> state_;
};

} // namespace pomelohinge

#endif
