#include "drivers/front/front_server.hpp"
#include "drivers/front/http_messages.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <ctime>
#include <filesystem>
#include <future>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// A front server on loopback whose answers are larger than the buffers of a
/// socket. Requests by POST must run only once.
class front_connection_test : public testing::Test
{
protected:
    static constexpr std::uint16_t port = 18080;
    static constexpr std::size_t answer_bytes = 24 << 20;
    /// Fits into the buffers of both sockets, but not into the caller's.
    static constexpr std::size_t medium_answer_bytes = 3 << 20;

    front_connection_test()
        : front_(context_,
              {[this](incoming_request message,
                   std::function<void(entry_result)> done) {
                   return handle(std::move(message), std::move(done));
               },
                  [](request_head const& head) { return head.method == "GET"; },
                  [](data_centre_id const&) {
                      return entry_answer{};
                  }},
              {}),
          work_guard_(context_.get_executor())
    {
        auto const status =
            front_.listen(loopback_address() + ":" + std::to_string(port));
        EXPECT_TRUE(status.ok()) << status.message();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~front_connection_test() override
    {
        context_.stop();
        thread_.join();
    }

    std::function<void()> handle(
        incoming_request message, std::function<void(entry_result)> done)
    {
        if (message.head.target == "/order") {
            order_done_ = std::move(done);
            return [] {
            };
        }
        if (message.head.target == "/cancel")
            return [] {
            };
        if (message.head.target == "/refuse") {
            auto const held = std::make_shared<int>(0);
            held_ = held;
            done(refusal{refusal_kind::overloaded, outcome::not_run, "", {}});
            return [held, done] {
            };
        }
        if (message.head.target == "/large")
            done(upstream_answer{200, {}, std::string(answer_bytes, 'a')});
        else if (message.head.target == "/medium")
            done(upstream_answer{
                200, {}, std::string(medium_answer_bytes, 'a')});
        else
            done(upstream_answer{200, {}, "small"});
        return [] {
        };
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(caller_context_);
        socket.connect({asio::ip::make_address(loopback_address()), port});
        return socket;
    }

    static void send(asio::ip::tcp::socket& socket, std::string const& bytes)
    {
        asio::write(socket, asio::buffer(bytes));
    }

    /// Reads until the connection ends; returns the size of the body.
    static std::size_t read_body(asio::ip::tcp::socket& socket)
    {
        asio::error_code ec;
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ec);
        auto const at = answer.find("\r\n\r\n");
        return at == std::string::npos ? 0 : answer.size() - at - 4;
    }

    /// Reads until nothing comes for some time, or the connection ends.
    static std::string read_for(
        asio::ip::tcp::socket& socket, std::chrono::milliseconds wait)
    {
        std::string received;
        std::array<char, 65536> buf;
        pollfd input{socket.native_handle(), POLLIN, 0};
        while (::poll(&input, 1, static_cast<int>(wait.count())) > 0) {
            asio::error_code ec;
            auto const n = socket.read_some(asio::buffer(buf), ec);
            if (ec)
                break;
            received.append(buf.data(), n);
        }
        return received;
    }

    /// The number of open requests, read on the server's thread.
    std::size_t open_requests()
    {
        std::promise<std::size_t> n;
        asio::post(context_, [&] { n.set_value(front_.open_requests()); });
        return n.get_future().get();
    }

    /// The number of this process's open descriptors.
    static std::ptrdiff_t count_descriptors()
    {
        return std::distance(
            std::filesystem::directory_iterator("/proc/self/fd"), {});
    }

    /// Puts the limit on open descriptors back when it is destroyed.
    struct descriptor_limit
    {
        explicit descriptor_limit(rlimit const& limit) : before(limit) {}
        descriptor_limit(descriptor_limit const&) = delete;
        descriptor_limit& operator=(descriptor_limit const&) = delete;
        ~descriptor_limit() { EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0); }

        rlimit before;
    };

    /// Leaves three descriptors more than are open. `latest` is the socket that
    /// was opened last.
    static descriptor_limit limit_descriptors(asio::ip::tcp::socket& latest)
    {
        rlimit limit{};
        EXPECT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
        auto lowered = limit;
        auto const next = dup(latest.native_handle());
        close(next);
        lowered.rlim_cur = static_cast<rlim_t>(next) + 3;
        EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
        return descriptor_limit(limit);
    }

    std::vector<asio::ip::tcp::socket> open_sockets(std::size_t count)
    {
        std::vector<asio::ip::tcp::socket> sockets;
        for (std::size_t n = 0; n < count; ++n) {
            sockets.emplace_back(caller_context_);
            sockets.back().open(asio::ip::tcp::v4());
        }
        return sockets;
    }

    /// Connects the sockets and sends a request on each.
    static void connect_all(std::vector<asio::ip::tcp::socket>& sockets)
    {
        asio::ip::tcp::endpoint const server{
            asio::ip::make_address(loopback_address()), port};
        for (auto& it : sockets) {
            it.connect(server);
            send(it,
                "GET /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        }
    }

    /// Lets the server check every 50 ms whether it accepts connections.
    void check_accepting_for(std::chrono::milliseconds time)
    {
        for (auto left = time; left > 0ms; left -= 50ms) {
            asio::post(context_, [this] { front_.check_accepting(); });
            std::this_thread::sleep_for(50ms);
        }
    }

    /// Waits until no request is open.
    bool await_no_open_request()
    {
        for (int n = 0; n < 100; ++n) {
            if (open_requests() == 0)
                return true;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    asio::io_context context_{1};
    asio::io_context caller_context_{1};
    front_server<native_front_dialect> front_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    std::thread thread_;
    std::function<void(entry_result)> order_done_;
    /// What the callback of a refused request holds.
    std::weak_ptr<int> held_;
};

TEST_F(front_connection_test, answer_that_is_being_written_is_open)
{
    auto socket = connect();
    send(socket, "GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(open_requests(), 1u);
    EXPECT_EQ(read_body(socket), answer_bytes);
    EXPECT_TRUE(await_no_open_request());
}

TEST_F(front_connection_test, answer_to_caller_that_leaves_is_not_open)
{
    {
        auto socket = connect();
        send(socket, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
        std::this_thread::sleep_for(300ms);
    }
    EXPECT_TRUE(await_no_open_request());
}

TEST_F(front_connection_test, answer_is_whole_if_caller_stalls_for_long)
{
    auto socket = connect();
    send(socket, "GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(26s);
    EXPECT_EQ(read_body(socket), answer_bytes);
}

TEST_F(front_connection_test, request_that_crosses_close_does_not_cut_answer)
{
    auto socket = connect();
    send(socket, "GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::string const crossing(256 << 10, 'b');
    send(socket,
        "POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: " +
            std::to_string(crossing.size()) + "\r\n\r\n" + crossing);
    // The server has written all that it can and the request has arrived.
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(read_body(socket), answer_bytes);
}

TEST_F(front_connection_test, request_that_crosses_close_does_not_cut_tail)
{
    auto socket = connect();
    send(
        socket, "GET /medium HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(300ms);
    // The whole answer is in the buffers of the sockets.
    send(socket, "GET /small HTTP/1.1\r\nHost: x\r\n\r\n");
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(read_body(socket), medium_answer_bytes);
}

TEST_F(front_connection_test,
    request_on_connection_that_waits_for_accept_is_answered)
{
    constexpr std::size_t callers = 40;
    std::promise<void> blocked;
    asio::post(context_, [&] { blocked.get_future().wait(); });
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t n = 0; n < callers; ++n) {
        sockets.push_back(connect());
        send(sockets.back(),
            "POST /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n");
    }
    asio::post(context_, [this] { front_.stop_listening(); });
    blocked.set_value();
    std::size_t answered = 0;
    for (auto& it : sockets)
        answered += read_body(it) == 5 ? 1 : 0;
    EXPECT_EQ(answered, callers);
    asio::ip::tcp::socket late(caller_context_);
    asio::error_code ec;
    late.connect({asio::ip::make_address(loopback_address()), port}, ec);
    EXPECT_EQ(ec, asio::error::connection_refused);
}

TEST_F(front_connection_test, caller_that_expects_continue_gets_it_once)
{
    auto socket = connect();
    send(socket,
        "POST /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Expect: 100-Continue\r\nContent-Length: 3\r\n\r\n");
    std::string const expected = "HTTP/1.1 100 Continue\r\n\r\n";
    EXPECT_EQ(read_for(socket, 500ms), expected);
    send(socket, "abc");
    EXPECT_EQ(read_for(socket, 500ms).find("HTTP/1.1 200"), 0u);
}

TEST_F(front_connection_test, continue_is_sent_behind_earlier_answers)
{
    auto socket = connect();
    send(socket, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    std::this_thread::sleep_for(100ms);
    send(socket, "POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n");
    std::this_thread::sleep_for(100ms);
    send(socket, "expect:100-continue\r\n\r\n");
    auto const answers = read_for(socket, 1s);
    auto const at = answers.find("\r\n\r\n") + 4;
    ASSERT_GT(answers.size(), at + answer_bytes);
    EXPECT_EQ(
        answers.substr(at + answer_bytes), "HTTP/1.1 100 Continue\r\n\r\n");
    send(socket, "abc");
    EXPECT_EQ(read_for(socket, 500ms).find("HTTP/1.1 200"), 0u);
}

/// The end of the earlier request and the head came with one read.
TEST_F(front_connection_test, head_behind_the_end_of_a_request_gets_continue)
{
    std::string const head = "POST /small HTTP/1.1\r\nHost: x\r\n";
    std::string const waiting =
        head + "Expect: 100-continue \r\nContent-Length: 3\r\n\r\n";
    std::string const expected = "HTTP/1.1 100 Continue\r\n\r\n";
    auto socket = connect();
    send(socket, head + "Content-Length: 3\r\n\r\nab");
    std::this_thread::sleep_for(100ms);
    for (int n = 0; n < 2; ++n) {
        send(socket, "c" + waiting);
        auto const answers = read_for(socket, 300ms);
        EXPECT_EQ(answers.find("HTTP/1.1 200"), 0u) << answers;
        EXPECT_TRUE(answers.ends_with("\r\n\r\nsmall" + expected)) << answers;
        send(socket, "ab");
        std::this_thread::sleep_for(50ms);
    }
    send(socket, "c");
    EXPECT_EQ(read_for(socket, 300ms).find("HTTP/1.1 200"), 0u);
}

TEST_F(front_connection_test, caller_that_does_not_wait_gets_no_continue)
{
    for (std::string const head : {"POST /small HTTP/1.1\r\nHost: x\r\n",
             "POST /small HTTP/1.0\r\nExpect: 100-continue\r\n"}) {
        auto socket = connect();
        send(socket, head + "Content-Length: 31\r\n\r\n");
        std::this_thread::sleep_for(100ms);
        send(socket, "Expect: 100-continue\r\n\r\n");
        EXPECT_EQ(read_for(socket, 300ms), "");
        send(socket, "1234567");
        EXPECT_EQ(read_for(socket, 300ms).find("HTTP/1.1 200"), 0u);
    }
}

TEST_F(front_connection_test, order_of_caller_that_shuts_down_is_answered)
{
    auto socket = connect();
    send(
        socket, "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(open_requests(), 1u);
    asio::post(context_, [this] {
        order_done_(upstream_answer{200, {}, std::string(answer_bytes, 'a')});
    });
    EXPECT_EQ(read_body(socket), answer_bytes);
    EXPECT_TRUE(await_no_open_request());
}

TEST_F(front_connection_test, request_of_caller_that_shuts_down_is_cancelled)
{
    auto socket = connect();
    send(socket, "GET /cancel HTTP/1.1\r\nHost: x\r\n\r\n");
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    EXPECT_EQ(read_for(socket, 500ms).find("HTTP/1.1 502"), 0u);
    EXPECT_TRUE(await_no_open_request());
}

TEST_F(front_connection_test, large_answer_to_caller_that_shuts_down_is_whole)
{
    auto socket = connect();
    send(socket, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    std::this_thread::sleep_for(200ms);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(read_body(socket), answer_bytes);
    EXPECT_TRUE(await_no_open_request());
}

TEST_F(front_connection_test, order_of_caller_that_resets_is_not_open)
{
    auto socket = connect();
    send(
        socket, "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(open_requests(), 1u);
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
    EXPECT_TRUE(await_no_open_request());
}

TEST_F(front_connection_test, callers_are_served_after_descriptors_were_out)
{
    constexpr std::size_t callers = 20;
    auto sockets = open_sockets(callers);
    {
        auto const limit = limit_descriptors(sockets.back());
        connect_all(sockets);
        auto const started = std::clock();
        check_accepting_for(500ms);
        EXPECT_LT(std::clock() - started, CLOCKS_PER_SEC / 4);
    }
    check_accepting_for(500ms);
    std::size_t answered = 0;
    for (auto& it : sockets)
        answered += read_for(it, 500ms).find("HTTP/1.1 200") == 0 ? 1 : 0;
    EXPECT_EQ(answered, callers);
}

/// The queue was looked at without a pause until the stop went on.
TEST_F(front_connection_test, stop_while_accepting_fails_does_not_spin)
{
    auto sockets = open_sockets(20);
    auto const limit = limit_descriptors(sockets.back());
    connect_all(sockets);
    std::this_thread::sleep_for(50ms);
    auto const started = std::clock();
    asio::post(context_, [this] { front_.stop_listening(); });
    std::this_thread::sleep_for(400ms);
    EXPECT_LT(std::clock() - started, CLOCKS_PER_SEC / 10);
}

TEST_F(front_connection_test, part_of_a_request_behind_the_last_gets_no_answer)
{
    auto socket = connect();
    send(socket,
        "POST /order HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(100ms);
    send(socket, "POST /small HTT");
    std::this_thread::sleep_for(100ms);
    asio::post(context_, [this] {
        order_done_(upstream_answer{200, {}, "small"});
    });
    EXPECT_EQ(read_body(socket), 5u);
}

TEST_F(front_connection_test, request_whose_body_arrives_is_open)
{
    auto socket = connect();
    send(socket,
        "POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n1");
    std::this_thread::sleep_for(700ms);
    send(socket, "2");
    std::this_thread::sleep_for(700ms);
    EXPECT_EQ(open_requests(), 1u);
    send(socket, "345");
    EXPECT_EQ(read_for(socket, 200ms).find("HTTP/1.1 200"), 0u);
    EXPECT_EQ(open_requests(), 0u);
}

TEST_F(front_connection_test, request_whose_body_stays_out_is_not_open)
{
    auto socket = connect();
    send(socket, "POST /small HTTP/1.1\r\nHost: x\r\nContent-Le");
    std::this_thread::sleep_for(100ms);
    EXPECT_EQ(open_requests(), 1u);
    std::this_thread::sleep_for(1200ms);
    EXPECT_EQ(open_requests(), 0u);
}

TEST_F(front_connection_test, request_that_is_refused_at_once_is_released)
{
    auto socket = connect();
    send(socket, "GET /refuse HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(read_for(socket, 200ms).find("HTTP/1.1 503"), 0u);
    socket.close();
    EXPECT_TRUE(await_no_open_request());
    EXPECT_TRUE(held_.expired());
}

TEST_F(front_connection_test, connections_of_callers_that_give_up_are_closed)
{
    // The callers' context opens descriptors of its own with the first one.
    auto first = connect();
    send(first, "GET /small HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(read_for(first, 200ms).find("HTTP/1.1 200"), 0u);
    auto const before = count_descriptors();
    for (int n = 0; n < 20; ++n) {
        auto socket = connect();
        send(socket,
            "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(20ms);
        socket.close();
        std::this_thread::sleep_for(20ms);
        asio::post(context_, [done = std::move(order_done_)] {
            done(upstream_answer{
                200, {}, std::string(medium_answer_bytes, 'a')});
        });
        std::this_thread::sleep_for(20ms);
    }
    for (int n = 0; n < 60 && count_descriptors() > before; ++n)
        std::this_thread::sleep_for(50ms);
    EXPECT_LE(count_descriptors(), before);
    EXPECT_TRUE(await_no_open_request());
}

} // namespace
} // namespace pomelohinge
