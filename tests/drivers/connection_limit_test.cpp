#include "drivers/front/front_server.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstring>
#include <gtest/gtest.h>
#include <list>
#include <poll.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// A front server that accepts few connections. It and the callers run on one
/// thread. Requests by POST are open until a test answers them.
class connection_limit_test : public testing::Test
{
protected:
    static constexpr std::uint16_t port = 18080;
    static constexpr std::size_t max_connections = 4;

    connection_limit_test()
        : front_(context_,
              {[this](incoming_request message,
                   std::function<void(entry_result)> done) {
                   if (message.head.method == "POST")
                       order_done_ = std::move(done);
                   else
                       done(upstream_answer{200, {}, "done", {}});
                   return [] {
                   };
               },
                  [](request_head const& head) { return head.method == "GET"; },
                  [](data_centre_id const&) {
                      return entry_answer{};
                  }},
              {.max_connections = max_connections})
    {
        auto const status =
            front_.listen(loopback_address() + ":" + std::to_string(port));
        EXPECT_TRUE(status.ok()) << status.message();
    }

    asio::ip::tcp::socket& connect()
    {
        callers_.emplace_back(context_);
        callers_.back().connect(
            {asio::ip::make_address(loopback_address()), port});
        return callers_.back();
    }

    /// Sends bytes and returns what comes within 100 ms.
    std::string exchange(asio::ip::tcp::socket& caller, std::string const& text)
    {
        asio::write(caller, asio::buffer(text));
        run_for(100ms);
        return receive(caller);
    }

    static std::string receive(asio::ip::tcp::socket& caller)
    {
        std::string received;
        std::array<char, 4096> buf;
        pollfd input{caller.native_handle(), POLLIN, 0};
        asio::error_code ec;
        while (!ec && ::poll(&input, 1, 0) > 0) {
            auto const n = caller.read_some(asio::buffer(buf), ec);
            received.append(buf.data(), n);
        }
        return received;
    }

    static bool has_ended(asio::ip::tcp::socket& caller)
    {
        pollfd input{caller.native_handle(), POLLRDHUP, 0};
        return ::poll(&input, 1, 0) > 0;
    }

    /// Connects callers that get an answer each.
    void connect_idle(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            auto const answer = exchange(connect(), lookup);
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
        }
    }

    void run_for(std::chrono::milliseconds time)
    {
        for (auto left = time; left > 0ms; left -= 50ms) {
            context_.run_for(50ms);
            front_.check_accepting();
        }
    }

    static constexpr char const* lookup = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    static constexpr char const* order =
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

    asio::io_context context_{1};
    front_server<native_front_dialect> front_;
    std::function<void(entry_result)> order_done_;
    std::list<asio::ip::tcp::socket> callers_;
};

/// Idle callers kept new ones waiting for up to 120 s.
TEST_F(connection_limit_test, longest_idle_caller_makes_room_for_a_new_one)
{
    connect_idle(max_connections);
    auto& first = callers_.front();
    auto& second = *std::next(callers_.begin());
    run_for(1200ms);
    // The second caller is the one that has been idle for longest now.
    EXPECT_NE(exchange(first, lookup), "");
    EXPECT_FALSE(has_ended(second));
    auto const answer = exchange(connect(), lookup);
    run_for(100ms);
    auto const late = answer + receive(callers_.back());
    EXPECT_TRUE(late.starts_with("HTTP/1.1 200")) << late;
    EXPECT_TRUE(has_ended(second));
    EXPECT_EQ(receive(second), "");
    std::size_t ended = 0;
    for (auto& it : callers_)
        ended += has_ended(it) ? 1 : 0;
    EXPECT_EQ(ended, 1u);
}

TEST_F(connection_limit_test, idle_callers_stay_while_none_waits)
{
    connect_idle(max_connections);
    run_for(1500ms);
    for (auto& it : callers_) {
        EXPECT_FALSE(has_ended(it));
        EXPECT_NE(exchange(it, lookup), "");
    }
}

TEST_F(connection_limit_test, requests_under_way_keep_their_connections)
{
    auto& with_order = connect();
    EXPECT_EQ(exchange(with_order, order), "");
    auto& with_part = connect();
    EXPECT_EQ(exchange(with_part, "GET /a HTT"), "");
    connect_idle(max_connections - 2);
    run_for(1200ms);
    for (int n = 0; n < 2; ++n)
        asio::write(connect(), asio::buffer(lookup, std::strlen(lookup)));
    run_for(300ms);
    for (auto it = std::prev(callers_.end(), 2); it != callers_.end(); ++it)
        EXPECT_NE(receive(*it), "");
    EXPECT_FALSE(has_ended(with_order));
    EXPECT_FALSE(has_ended(with_part));
    order_done_(upstream_answer{200, {}, "ordered", {}});
    run_for(50ms);
    EXPECT_NE(receive(with_order).find("ordered"), std::string::npos);
    EXPECT_TRUE(exchange(with_part, "P/1.1\r\nHost: x\r\n\r\n")
                    .starts_with("HTTP/1.1 200"));
}

} // namespace
} // namespace pomelohinge
