#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP

#include "drivers/front/request_buffers.hpp"
#include "servers/requests/request_pipeline.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
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
    explicit connection_state(request_buffers* buffers = nullptr)
        : intake_(buffers)
    {
    }

    /// The memory of the request that is being received.
    request_intake& intake() { return intake_; }

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
    /// every registered request.
    void mark_closed_by_caller()
    {
        closed_ = true;
        pipeline_.stop();
        for (auto const& [id, callback] : std::exchange(on_closed_, {}))
            callback();
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
    request_intake intake_;
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
        : base(context), state_(std::make_shared<connection_state>(
                             &asio::use_service<request_buffers>(context)))
    {
    }
    /// RESTinio accepts the next connection into the moved-from socket, so
    /// the moved-from socket gets a new state.
    front_socket(front_socket&& other) noexcept
        : base(std::move(other)), state_(other.replace_state())
    {
    }
    front_socket& operator=(front_socket&& other) noexcept
    {
        state_ = other.replace_state();
        base::operator=(std::move(other));
        return *this;
    }

    template <class Buffers, class Handler>
    void async_read_some(Buffers const& buffers, Handler&& handler)
    {
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        asio::mutable_buffer const input =
            *asio::buffer_sequence_begin(buffers);
        read_with_room(input,
            asio::bind_executor(executor,
                [state = state_, input,
                    handler = std::forward<Handler>(handler)](
                    asio::error_code const& ec, std::size_t bytes) mutable {
                    state->add_received(bytes);
                    state->intake().receive(
                        {static_cast<char const*>(input.data()), bytes});
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

    static constexpr duration max_discard_time = std::chrono::seconds(5);

    /// A wait that ends at a time or before.
    struct timed_wait
    {
        explicit timed_wait(asio::any_io_executor const& executor)
            : timer(executor)
        {
        }
        void end()
        {
            ended = true;
            timer.cancel();
        }

        asio::steady_timer timer;
        bool ended = false;
    };

    std::shared_ptr<connection_state> replace_state()
    {
        auto* const buffers = state_->intake().buffers();
        return std::exchange(
            state_, std::make_shared<connection_state>(buffers));
    }

    /// Reads once there is room for what the request needs. The handler keeps
    /// the socket alive.
    template <class Handler>
    void read_with_room(asio::mutable_buffer const& input, Handler handler)
    {
        auto& intake = state_->intake();
        if (!intake.needs_charge())
            return base::async_read_some(input, std::move(handler));
        auto const wait = std::make_shared<timed_wait>(base::get_executor());
        bool const too_large = intake.is_too_large();
        if (!too_large && intake.charge([weak = std::weak_ptr(wait)] {
                if (auto const it = weak.lock())
                    it->end();
            }))
            return base::async_read_some(input, std::move(handler));
        wait->timer.expires_after(
            too_large ? duration::zero() : request_buffers::max_wait);
        await_room(wait, input, std::move(handler));
    }

    template <class Handler>
    void await_room(std::shared_ptr<timed_wait> const& wait,
        asio::mutable_buffer const& input, Handler handler)
    {
        wait->timer.async_wait(
            [this, wait, input, handler = std::move(handler)](
                asio::error_code const&) mutable {
                if (wait->ended || !base::is_open())
                    return base::async_read_some(input, std::move(handler));
                if (state_->pipeline().empty())
                    return refuse_request(input, std::move(handler));
                // A refusal would overtake the answers to earlier requests.
                wait->timer.expires_after(request_buffers::max_wait);
                await_room(wait, input, std::move(handler));
            });
    }

    /// Refuses a request whose body has not been read.
    template <class Handler>
    void refuse_request(asio::mutable_buffer const& input, Handler handler)
    {
        state_->mark_received();
        auto const text =
            std::make_shared<std::string>(state_->intake().refuse());
        asio::async_write(static_cast<base&>(*this), asio::buffer(*text),
            [this, text, input, handler = std::move(handler)](
                asio::error_code ec, std::size_t) mutable {
                base::shutdown(shutdown_send, ec);
                auto const limit =
                    std::make_shared<timed_wait>(base::get_executor());
                limit->timer.expires_after(max_discard_time);
                limit->timer.async_wait([this, limit](asio::error_code const&) {
                    asio::error_code ignored;
                    if (!limit->ended)
                        base::shutdown(shutdown_receive, ignored);
                });
                discard(limit, input, std::move(handler));
            });
    }

    /// Reads until the caller closes the connection. Closing a socket with
    /// unread bytes sends a reset, which may discard the refusal before the
    /// caller has read it.
    template <class Handler>
    void discard(std::shared_ptr<timed_wait> const& limit,
        asio::mutable_buffer const& input, Handler handler)
    {
        base::async_read_some(input,
            [this, limit, input, handler = std::move(handler)](
                asio::error_code const& ec, std::size_t) mutable {
                if (!ec)
                    return discard(limit, input, std::move(handler));
                limit->end();
                handler(ec, 0);
            });
    }

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
