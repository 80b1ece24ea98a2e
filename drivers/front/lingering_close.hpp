#ifndef POMELOHINGE_DRIVERS_FRONT_LINGERING_CLOSE_HPP
#define POMELOHINGE_DRIVERS_FRONT_LINGERING_CLOSE_HPP

#include "drivers/front/connection_state.hpp"
#include "drivers/front/socket_queue.hpp"

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <netinet/tcp.h>
#include <utility>

namespace pomelohinge {

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
                if (ec != asio::error::eof || is_delivered(self->socket_))
                    self->close();
            });
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
        if (is_delivered(socket_)) {
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

} // namespace pomelohinge

#endif
