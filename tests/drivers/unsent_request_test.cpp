#include "drivers/http/connection_pool.hpp"
#include "tests/drivers/scripted_target.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;
using tcp = asio::ip::tcp;

/// Exchanges whose connections fail, by a pool on the thread of the test.
class unsent_request_test : public testing::Test
{
protected:
    /// A target that listens and accepts no connection until the test does.
    class slow_acceptor
    {
    public:
        explicit slow_acceptor(int backlog) : acceptor_(context_)
        {
            tcp::endpoint const any(asio::ip::make_address("127.0.0.1"), 0);
            acceptor_.open(any.protocol());
            acceptor_.bind(any);
            acceptor_.listen(backlog);
        }

        tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
        std::string address() const
        {
            return "127.0.0.1:" + std::to_string(endpoint().port());
        }

        /// Accepts the connections that come within some time; returns all
        /// bytes received on them.
        std::string read_all()
        {
            std::string received;
            std::vector<tcp::socket> sockets;
            pollfd queue{acceptor_.native_handle(), POLLIN, 0};
            while (::poll(&queue, 1, 1500) > 0)
                sockets.push_back(acceptor_.accept());
            for (auto& it : sockets) {
                std::array<char, 4096> buf;
                auto const n = ::recv(
                    it.native_handle(), buf.data(), buf.size(), MSG_DONTWAIT);
                if (n > 0)
                    received.append(buf.data(), static_cast<std::size_t>(n));
            }
            return received;
        }

    private:
        asio::io_context context_;
        tcp::acceptor acceptor_;
    };

    std::uint64_t start(
        std::string const& address, std::chrono::milliseconds timeout = 2s)
    {
        context_.restart();
        exchange_call call;
        call.address = address;
        call.head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
        call.timeout = timeout;
        return pool_.start(std::move(call),
            [this](exchange_result it) { ends_.push_back(it.end); });
    }

    exchange_end run(std::string const& address)
    {
        start(address);
        while (ends_.empty())
            context_.run_one();
        return std::exchange(ends_, {}).back();
    }

    buffer_budget buffers_{1 << 20};
    asio::io_context context_{1};
    connection_pool pool_{context_, buffers_};
    std::vector<exchange_end> ends_;
};

TEST_F(unsent_request_test, connect_that_takes_too_long_sends_nothing_later)
{
    slow_acceptor target(0);
    // Fills the queue, so that the target drops further connects.
    tcp::socket filler(context_);
    filler.connect(target.endpoint());
    EXPECT_EQ(run(target.address()), exchange_end::connect_failed);
    context_.run_for(50ms);
    EXPECT_EQ(target.read_all(), "");
}

TEST_F(unsent_request_test, exchange_cancelled_before_its_connect_sends_nothing)
{
    slow_acceptor target(8);
    pool_.cancel(start(target.address()));
    context_.run_for(100ms);
    EXPECT_TRUE(ends_.empty());
    EXPECT_EQ(target.read_all(), "");
}

TEST_F(
    unsent_request_test, connection_that_target_resets_is_not_a_failed_connect)
{
    slow_acceptor target(8);
    start(target.address());
    context_.run_for(50ms);
    ASSERT_TRUE(ends_.empty());
    EXPECT_NE(target.read_all(), "");
    context_.run_for(200ms);
    ASSERT_EQ(ends_.size(), 1u);
    EXPECT_EQ(ends_.front(), exchange_end::lost);
}

TEST_F(unsent_request_test, connection_closed_at_once_is_not_a_failed_connect)
{
    scripted_target const target([](target_connection& it) { it.shut_down(); });
    for (int n = 0; n < 20; ++n)
        EXPECT_EQ(run(target.address()), exchange_end::lost);
}

TEST_F(unsent_request_test, request_without_an_answer_is_not_a_failed_connect)
{
    scripted_target const target([](target_connection& it) {
        while (!it.read_head().empty())
            ;
    });
    for (auto const timeout : {30ms, 500ms}) {
        start(target.address(), timeout);
        context_.run_for(timeout + 100ms);
        ASSERT_EQ(ends_.size(), 1u);
        EXPECT_EQ(ends_.front(), exchange_end::timed_out);
        ends_.clear();
    }
}

TEST_F(unsent_request_test, answer_and_time_limit_in_one_turn_end_it_once)
{
    scripted_target const target([](target_connection& it) {
        while (!it.read_head().empty()) {
            std::this_thread::sleep_for(60ms);
            it.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    for (int n = 0; n < 5; ++n) {
        start(target.address(), 100ms);
        context_.run_for(20ms);
        std::this_thread::sleep_for(150ms);
        context_.run_for(50ms);
        ASSERT_EQ(ends_.size(), 1u);
        EXPECT_TRUE(ends_.front() == exchange_end::answered ||
            ends_.front() == exchange_end::timed_out);
        ends_.clear();
    }
}

TEST_F(unsent_request_test, exchange_cancelled_with_its_answer_due_ends_never)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        std::this_thread::sleep_for(60ms);
        it.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        it.await_close();
    });
    auto const id = start(target.address());
    context_.run_for(20ms);
    std::this_thread::sleep_for(100ms);
    pool_.cancel(id);
    context_.run_for(50ms);
    EXPECT_TRUE(ends_.empty());
    EXPECT_EQ(run(target.address()), exchange_end::answered);
    EXPECT_EQ(target.accepted(), 2) << "the connection was used again";
}

} // namespace
} // namespace pomelohinge
