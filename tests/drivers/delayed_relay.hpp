#ifndef POMELOHINGE_TESTS_DRIVERS_DELAYED_RELAY_HPP
#define POMELOHINGE_TESTS_DRIVERS_DELAYED_RELAY_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace pomelohinge {

/// Accepts one connection at a time on a thread of its own and relays it to
/// another address. Bytes of both directions arrive later by the delay.
class delayed_relay
{
public:
    using endpoint = asio::ip::tcp::endpoint;

    delayed_relay(endpoint const& listen, endpoint const& to,
        std::chrono::milliseconds delay)
        : acceptor_(context_, listen), to_(to), delay_(delay)
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~delayed_relay()
    {
        context_.stop();
        thread_.join();
    }

    delayed_relay(delayed_relay const&) = delete;
    delayed_relay& operator=(delayed_relay const&) = delete;

private:
    using socket = asio::ip::tcp::socket;

    void accept()
    {
        acceptor_.async_accept([this](asio::error_code ec, socket accepted) {
            if (ec)
                return;
            auto caller = std::make_shared<socket>(std::move(accepted));
            auto server = std::make_shared<socket>(context_);
            server->connect(to_, ec);
            if (!ec) {
                relay(caller, server);
                relay(server, caller);
            }
            accept();
        });
    }

    /// Reads on while earlier bytes wait, so that the delay does not add up.
    void relay(std::shared_ptr<socket> from, std::shared_ptr<socket> to)
    {
        auto buf = std::make_shared<std::array<char, 65536>>();
        from->async_read_some(asio::buffer(*buf),
            [this, from, to, buf](asio::error_code ec, std::size_t n) {
                auto timer =
                    std::make_shared<asio::steady_timer>(context_, delay_);
                timer->async_wait([timer, to, buf, ec, n](asio::error_code) {
                    asio::error_code ignored;
                    if (ec)
                        to->shutdown(socket::shutdown_both, ignored);
                    else
                        asio::write(*to, asio::buffer(*buf, n), ignored);
                });
                if (!ec)
                    relay(from, to);
            });
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    endpoint to_;
    std::chrono::milliseconds delay_;
    std::thread thread_;
};

} // namespace pomelohinge

#endif
