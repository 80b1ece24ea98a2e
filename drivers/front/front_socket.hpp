#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP

#include "drivers/front/connection_state.hpp"
#include "drivers/front/lingering_close.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace pomelohinge {

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
                             &asio::use_service<request_buffers>(context),
                             &asio::use_service<connection_list>(context)))
    {
    }
    ~front_socket() { state_->detach(); }
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
        auto after = asio::bind_executor(executor,
            [this, state = state_, input,
                handler = std::forward<Handler>(handler)](
                asio::error_code const& ec, std::size_t bytes) mutable {
                after_read(state, input, ec, bytes, std::move(handler));
            });
        if (is_open())
            state_->record_activity(*this);
        if (state_->intake().is_malformed())
            return refuse_malformed(state_, input, std::move(after));
        read_with_room(input, std::move(after));
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
                [this, state = state_,
                    handler = std::forward<Handler>(handler)](
                    asio::error_code const& ec, std::size_t bytes) mutable {
                    if (is_open())
                        state_->record_activity(*this);
                    current_connection_scope const scope(state);
                    handler(ec, bytes);
                    send_continue_if_due();
                    // Ends the wait for the answers or for further input.
                    asio::error_code ignored;
                    if ((state->has_input_ended() && state->is_answered()) ||
                        state->is_malformed_next() || state->is_close_due())
                        base::cancel(ignored);
                }));
    }

    /// RESTinio calls this before it closes a connection, so a refusal can
    /// still be sent here.
    void shutdown(shutdown_type, asio::error_code& ec)
    {
        if (state_->needs_refusal())
            refuse_unparsable();
        base::shutdown(shutdown_send, ec);
    }

    /// RESTinio also closes connections with unanswered requests, for instance
    /// behind one that it cannot parse.
    void close()
    {
        asio::error_code ec;
        state_->pipeline().stop();
        state_->detach();
        if (!is_open() || state_->is_closed() || state_->makes_room())
            return static_cast<void>(base::close(ec));
        base::cancel(ec);
        std::make_shared<lingering_close>(static_cast<base&&>(*this), state_)
            ->start();
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

    /// Passes what has been read on to RESTinio, which closes the connection at
    /// once when it cannot parse a request. So bytes of a malformed one are
    /// held back until those before it are answered.
    template <class Handler>
    void after_read(std::shared_ptr<connection_state> const& state,
        asio::mutable_buffer const& input, asio::error_code const& ec,
        std::size_t bytes, Handler handler)
    {
        if (ec == asio::error::operation_aborted && is_open()) {
            if (state->is_close_due())
                return close_or_read(state, input, std::move(handler));
            if (state->intake().is_malformed() && !state->has_last_answer())
                return async_read_some(input, std::move(handler));
        }
        std::string_view const received(
            static_cast<char const*>(input.data()), bytes);
        state->add_received(received);
        auto const handled = state->intake().receive(received);
        if (ec == asio::error::eof && !state->is_answered())
            return await_answers(state, std::move(handler));
        if (!ec && handled == 0)
            return async_read_some(input, std::move(handler));
        {
            current_connection_scope const scope(state);
            handler(ec, handled);
            send_continue_if_due();
        }
        if (ec && ec != asio::error::operation_aborted)
            state->mark_closed_by_caller();
    }

    /// Makes RESTinio close the connection, unless a further request has come.
    template <class Handler>
    void close_or_read(std::shared_ptr<connection_state> const& state,
        asio::mutable_buffer const& input, Handler handler)
    {
        asio::error_code ec;
        if (base::available(ec) > 0)
            return async_read_some(input, std::move(handler));
        handler(asio::error::make_error_code(asio::error::eof), 0);
        state->mark_closed_by_caller();
    }

    /// Skips what the caller sends until the requests before the malformed one
    /// are answered, and then refuses that one.
    template <class Handler>
    void refuse_malformed(std::shared_ptr<connection_state> state,
        asio::mutable_buffer const& input, Handler handler)
    {
        if (state->is_malformed_next())
            return refuse_request(
                unparsable_refusal(), input, std::move(handler));
        base::async_read_some(input,
            [this, state, input, handler = std::move(handler)](
                asio::error_code const& ec, std::size_t) mutable {
                bool const is_woken = ec == asio::error::operation_aborted &&
                    state->is_malformed_next();
                if (!ec || is_woken)
                    return refuse_malformed(state, input, std::move(handler));
                handler(ec, 0);
            });
    }

    /// Holds back the end of the input, at which RESTinio closes the
    /// connection, until all requests are answered or the connection has
    /// failed.
    template <class Handler>
    void await_answers(std::shared_ptr<connection_state> state, Handler handler)
    {
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        base::async_wait(base::wait_error,
            asio::bind_executor(executor,
                [state, handler = std::move(handler)](
                    asio::error_code ec) mutable {
                    if (ec && !state->is_answered())
                        return handler(ec, 0);
                    handler(ec ? asio::error::make_error_code(asio::error::eof)
                               : asio::error::make_error_code(
                                     asio::error::connection_reset),
                        0);
                    state->mark_closed_by_caller();
                }));
        state->mark_input_ended();
    }

    /// The answer is short and all before it is written, so it fits into the
    /// socket's buffer.
    void send_continue_if_due()
    {
        if (!is_open() || !state_->is_continue_due())
            return;
        state_->intake().mark_continue_sent();
        asio::error_code ec;
        base::non_blocking(true, ec);
        base::write_some(asio::buffer(continue_answer), ec);
    }

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
        state_->detach();
        auto* const buffers = state_->intake().buffers();
        return std::exchange(state_,
            std::make_shared<connection_state>(buffers, state_->list()));
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
            return read_charged(input, std::move(handler));
        state_->await_memory();
        if (!too_large)
            connection_state::give_up_stalled();
        if (wait->ended)
            return read_charged(input, std::move(handler));
        wait->timer.expires_after(
            too_large ? duration::zero() : request_buffers::max_wait);
        await_room(wait, input, std::move(handler));
    }

    template <class Handler>
    void read_charged(asio::mutable_buffer const& input, Handler handler)
    {
        state_->begin_charged_read();
        base::async_read_some(input, std::move(handler));
    }

    template <class Handler>
    void await_room(std::shared_ptr<timed_wait> const& wait,
        asio::mutable_buffer const& input, Handler handler)
    {
        wait->timer.async_wait(
            [this, wait, input, handler = std::move(handler)](
                asio::error_code const&) mutable {
                if (!wait->ended && !state_->intake().is_too_large())
                    connection_state::give_up_stalled();
                if (wait->ended || !base::is_open())
                    return read_charged(input, std::move(handler));
                if (state_->is_answered())
                    return refuse_request(
                        state_->intake().refuse(), input, std::move(handler));
                // A refusal would overtake the answers to earlier requests.
                wait->timer.expires_after(request_buffers::max_wait);
                await_room(wait, input, std::move(handler));
            });
    }

    /// Refuses a request that has not been read completely.
    template <class Handler>
    void refuse_request(
        std::string refusal, asio::mutable_buffer const& input, Handler handler)
    {
        state_->mark_refused();
        auto const text = std::make_shared<std::string>(std::move(refusal));
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
    }

    static constexpr std::string_view continue_answer =
        "HTTP/1.1 100 Continue\r\n\r\n";

    std::shared_ptr<connection_state> state_;
};

} // namespace pomelohinge

#endif
