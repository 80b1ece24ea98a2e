#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP

#include "drivers/front/expect_continue.hpp"
#include "drivers/front/request_buffers.hpp"
#include "servers/requests/request_pipeline.hpp"

#include <algorithm>
#include <array>
#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <linux/sockios.h>
#include <map>
#include <memory>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/ioctl.h>
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
    ~connection_state() { receiving().erase(this); }
    connection_state(connection_state const&) = delete;
    connection_state& operator=(connection_state const&) = delete;

    /// The number of connections of this thread on which a part of a request
    /// has been received, the latest bytes since `since`.
    static std::size_t count_receiving(time_point since)
    {
        return static_cast<std::size_t>(
            std::count_if(receiving().begin(), receiving().end(),
                [&](auto const& it) { return it.second >= since; }));
    }

    /// The memory of the request that is being received.
    request_intake& intake() { return intake_; }

    /// Marks the bytes received so far as those of a complete request.
    void mark_received()
    {
        unhandled_bytes_ = 0;
        receiving().erase(this);
        expect_continue_.request_received();
    }

    /// Registers a request that runs and returns its id. `on_disconnected` is
    /// called if the caller shuts down its sending side or closes the
    /// connection before `end_request`; twice if it does one after the other.
    std::uint64_t begin_request(std::function<void()> on_disconnected)
    {
        auto const id = ++last_id_;
        if (!closed_)
            on_disconnected_.emplace(id, std::move(on_disconnected));
        return id;
    }

    /// Unregisters a request, so that its callback is no longer called.
    void end_request(std::uint64_t id) { on_disconnected_.erase(id); }

    /// When the requests received on the connection start.
    request_pipeline& pipeline() { return pipeline_; }

    /// Keeps `answer` open until the caller has received all that was written.
    void set_last_answer(std::shared_ptr<void> answer)
    {
        receiving().erase(this);
        has_last_answer_ = true;
        last_answer_ = std::move(answer);
    }

    /// Records that the caller has received all that was written.
    void mark_delivered() { last_answer_ = nullptr; }

    /// Whether the caller has closed the connection.
    bool is_closed() const { return closed_; }

    /// Counts received bytes until a request handler has taken them.
    void add_received(std::string_view bytes)
    {
        unhandled_bytes_ += bytes.size();
        if (!bytes.empty())
            receiving()[this] = boottime_clock::now();
        expect_continue_.add(bytes);
    }

    /// Whether the caller waits for a "100 Continue", which belongs behind the
    /// answers to its earlier requests.
    bool is_continue_due() const
    {
        return expect_continue_.is_due() && is_answered();
    }

    void mark_continue_sent() { expect_continue_.mark_sent(); }

    /// The number of answers that are being written.
    std::shared_ptr<std::size_t> const& unsent_answers() const
    {
        return unsent_answers_;
    }

    /// Whether every request that was received has been answered.
    bool is_answered() const
    {
        return pipeline_.empty() && *unsent_answers_ == 0;
    }

    /// Whether all requests are answered that ever will be, while no answer has
    /// closed the connection, since the last one was given before an earlier
    /// one.
    bool is_close_due() const
    {
        return pipeline_.is_stopped() && is_answered() && !has_last_answer_ &&
            !closed_;
    }

    /// Whether the caller has shut down its sending side.
    bool has_input_ended() const { return input_ended_; }

    /// Records that the caller has shut down its sending side. This may be the
    /// start of a close, so requests that can be cancelled end.
    void mark_input_ended()
    {
        input_ended_ = true;
        pipeline_.stop();
        for (auto const& [id, callback] : std::map(on_disconnected_))
            if (on_disconnected_.contains(id))
                callback();
    }

    /// Marks the connection as closed by the caller and calls the callback of
    /// every registered request, unless it is unregistered by another one's.
    void mark_closed_by_caller()
    {
        closed_ = true;
        receiving().erase(this);
        intake_.abandon();
        pipeline_.stop();
        while (!on_disconnected_.empty())
            on_disconnected_.extract(on_disconnected_.begin()).mapped()();
    }

    /// Whether the caller has not closed the connection, no request is
    /// unanswered and bytes were received that no request handler has taken.
    /// If the server closes the connection in this state, it has rejected a
    /// request without an answer.
    bool needs_refusal() const
    {
        return !closed_ && is_answered() && unhandled_bytes_ > 0 &&
            !has_last_answer_;
    }

    /// The connection whose socket handler is running on this thread; null
    /// outside of socket handlers.
    static std::shared_ptr<connection_state>& current()
    {
        thread_local std::shared_ptr<connection_state> state;
        return state;
    }

private:
    /// Connections of this thread with a part of a request, and when its latest
    /// bytes came.
    static std::map<connection_state const*, time_point>& receiving()
    {
        thread_local std::map<connection_state const*, time_point> connections;
        return connections;
    }

    std::uint64_t last_id_ = 0;
    std::size_t unhandled_bytes_ = 0;
    bool closed_ = false;
    bool input_ended_ = false;
    std::map<std::uint64_t, std::function<void()>> on_disconnected_;
    request_pipeline pipeline_;
    bool has_last_answer_ = false;
    std::shared_ptr<void> last_answer_;
    std::shared_ptr<std::size_t> unsent_answers_ =
        std::make_shared<std::size_t>(0);
    expect_continue expect_continue_;
    request_intake intake_;
};

/// Closes a connection once the caller has received what was written to it.
/// Closing a socket with unread bytes, or one that receives further ones, sends
/// a reset, which may discard the answer on its way. So this sends the end of
/// the stream and skips what the caller still sends, until the caller closes
/// the connection or a time limit has passed.
class lingering_close : public std::enable_shared_from_this<lingering_close>
{
public:
    lingering_close(
        asio::ip::tcp::socket socket, std::shared_ptr<connection_state> state)
        : socket_(std::move(socket)), timer_(socket_.get_executor()),
          state_(std::move(state))
    {
    }

    void start()
    {
        skip_input();
        check_delivery();
    }

private:
    static constexpr std::chrono::milliseconds check_period{50};
    /// Time that a caller has to close its side after it has received all.
    static constexpr int max_checks_after_delivery = 20;
    /// Time that a caller has to receive all.
    static constexpr int max_checks = 1200;

    void skip_input()
    {
        socket_.async_read_some(asio::buffer(input_),
            [self = shared_from_this()](asio::error_code ec, std::size_t) {
                if (!ec)
                    return self->skip_input();
                self->input_ended_ = true;
                if (ec != asio::error::eof || self->is_delivered())
                    self->close();
            });
    }

    bool is_delivered()
    {
        int unsent_bytes = 0;
        return ::ioctl(socket_.native_handle(), SIOCOUTQ, &unsent_bytes) != 0 ||
            unsent_bytes == 0;
    }

    /// Whether the connection has failed. A socket that is not read any more
    /// does not report this by itself.
    bool has_failed()
    {
        tcp_info info{};
        socklen_t size = sizeof info;
        return ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO,
                   &info, &size) == 0 &&
            info.tcpi_state == TCP_CLOSE;
    }

    /// A caller that stops reading ends this by the timeout of the socket.
    void check_delivery()
    {
        if (has_failed() || ++checks_ > max_checks)
            return close();
        if (is_delivered()) {
            state_->mark_delivered();
            if (input_ended_ ||
                ++checks_after_delivery_ > max_checks_after_delivery)
                return close();
        }
        timer_.expires_after(check_period);
        timer_.async_wait([self = shared_from_this()](asio::error_code ec) {
            if (!ec)
                self->check_delivery();
        });
    }

    void close()
    {
        asio::error_code ec;
        socket_.close(ec);
        timer_.cancel();
        state_->mark_delivered();
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<connection_state> state_;
    std::array<char, 4096> input_{};
    int checks_ = 0;
    int checks_after_delivery_ = 0;
    bool input_ended_ = false;
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
                [this, state = state_, input,
                    handler = std::forward<Handler>(handler)](
                    asio::error_code const& ec, std::size_t bytes) mutable {
                    std::string_view const received(
                        static_cast<char const*>(input.data()), bytes);
                    state->add_received(received);
                    state->intake().receive(received);
                    if (ec == asio::error::eof && !state->is_answered())
                        return await_answers(state, std::move(handler));
                    {
                        current_connection_scope const scope(state);
                        handler(ec, bytes);
                        send_continue_if_due();
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
                [this, state = state_,
                    handler = std::forward<Handler>(handler)](
                    asio::error_code const& ec, std::size_t bytes) mutable {
                    current_connection_scope const scope(state);
                    handler(ec, bytes);
                    send_continue_if_due();
                    // Ends the wait for the answers.
                    asio::error_code ignored;
                    if (state->has_input_ended() && state->is_answered())
                        base::cancel(ignored);
                    else if (is_open() && state->is_close_due())
                        base::shutdown(shutdown_receive, ignored);
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
        if (!is_open() || state_->is_closed())
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
        state_->mark_continue_sent();
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
                if (state_->is_answered())
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
    }

    static constexpr std::string_view continue_answer =
        "HTTP/1.1 100 Continue\r\n\r\n";

    std::shared_ptr<connection_state> state_;
};

} // namespace pomelohinge

#endif
