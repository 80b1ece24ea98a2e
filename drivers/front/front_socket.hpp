#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_SOCKET_HPP

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

/// What is known of one caller's connection. RESTinio tells request handlers
/// neither that the caller hung up nor lets them answer what it cannot
/// parse; both are seen here. It lives on the connection's traffic thread
/// and is shared by the socket and the requests that came over it.
class connection_watch
{
public:
    /// Registers a request under way; `on_closed` is called if the caller
    /// hangs up before `request_ended`.
    std::uint64_t request_began(std::function<void()> on_closed)
    {
        unanswered_bytes_ = 0;
        auto const id = ++last_id_;
        if (!closed_)
            on_closed_.emplace(id, std::move(on_closed));
        return id;
    }

    void request_ended(std::uint64_t id) { on_closed_.erase(id); }

    /// Bytes came, or the connection ended.
    void bytes_read(std::size_t bytes) { unanswered_bytes_ += bytes; }

    void peer_closed()
    {
        closed_ = true;
        for (auto const& [id, callback] : std::exchange(on_closed_, {}))
            callback();
    }

    /// Whether the connection is being closed with a request on it that no
    /// handler has seen.
    bool owes_refusal() const
    {
        return !closed_ && on_closed_.empty() && unanswered_bytes_ > 0;
    }

    /// The watch of the connection whose bytes are being handled; null
    /// outside of that.
    static std::shared_ptr<connection_watch>& current()
    {
        thread_local std::shared_ptr<connection_watch> watch;
        return watch;
    }

private:
    std::uint64_t last_id_ = 0;
    std::size_t unanswered_bytes_ = 0;
    bool closed_ = false;
    std::map<std::uint64_t, std::function<void()>> on_closed_;
};

/// What is sent to a caller whose request cannot be parsed.
std::string const& unparsable_refusal();

/// The stream socket that RESTinio uses for callers.
class front_socket : public asio::ip::tcp::socket
{
public:
    using base = asio::ip::tcp::socket;

    explicit front_socket(asio::io_context& context)
        : base(context), watch_(std::make_shared<connection_watch>())
    {
    }
    /// RESTinio accepts the next connection into the moved-from socket, so
    /// that one gets a watch of its own.
    front_socket(front_socket&& other) noexcept
        : base(std::move(other)), watch_(std::exchange(other.watch_,
                                      std::make_shared<connection_watch>()))
    {
    }
    front_socket& operator=(front_socket&& other) noexcept
    {
        watch_ =
            std::exchange(other.watch_, std::make_shared<connection_watch>());
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
                [watch = watch_, handler = std::forward<Handler>(handler)](
                    asio::error_code const& ec, std::size_t bytes) mutable {
                    watch->bytes_read(bytes);
                    {
                        watched_scope const scope(watch);
                        handler(ec, bytes);
                    }
                    if (ec && ec != asio::error::operation_aborted)
                        watch->peer_closed();
                }));
    }

    /// The end of a write may bring a request to its handler that was read
    /// before.
    template <class Buffers, class Handler>
    void async_write_some(Buffers const& buffers, Handler&& handler)
    {
        auto const executor =
            asio::get_associated_executor(handler, get_executor());
        base::async_write_some(buffers,
            asio::bind_executor(executor,
                [watch = watch_, handler = std::forward<Handler>(handler)](
                    asio::error_code const& ec, std::size_t bytes) mutable {
                    watched_scope const scope(watch);
                    handler(ec, bytes);
                }));
    }

    /// RESTinio shuts a connection down before it closes it.
    void shutdown(shutdown_type what, asio::error_code& ec)
    {
        if (watch_->owes_refusal())
            refuse_unparsable();
        base::shutdown(what, ec);
    }

private:
    /// Makes a watch the current one while a handler runs.
    class watched_scope
    {
    public:
        explicit watched_scope(std::shared_ptr<connection_watch> watch)
            : before_(
                  std::exchange(connection_watch::current(), std::move(watch)))
        {
        }
        ~watched_scope() { connection_watch::current() = before_; }

    private:
        std::shared_ptr<connection_watch> before_;
    };

    void refuse_unparsable()
    {
        asio::error_code ec;
        base::non_blocking(true, ec);
        base::write_some(asio::buffer(unparsable_refusal()), ec);
        base::shutdown(shutdown_send, ec);
        // Unread bytes would turn the close into a reset, which may destroy
        // the refusal on its way.
        constexpr std::size_t most_chunks = 64;
        std::array<char, 16384> buf;
        for (std::size_t it = 0; it < most_chunks && !ec; ++it)
            base::read_some(asio::buffer(buf), ec);
    }

    std::shared_ptr<connection_watch> watch_;
};

} // namespace pomelohinge

#endif
