#include "drivers/front/front_server.hpp"
#include "drivers/front/http_messages.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <poll.h>
#include <thread>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// A front server on loopback and a caller that sends several requests on one
/// connection. The test answers them by their path. Requests by POST must run
/// only once.
class pipelining_test : public testing::Test
{
protected:
    static constexpr std::uint16_t port = 18080;

    pipelining_test()
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
          work_guard_(context_.get_executor()), caller_(caller_context_)
    {
        auto const status =
            front_.listen(loopback_address() + ":" + std::to_string(port));
        EXPECT_TRUE(status.ok()) << status.message();
        thread_ = std::thread([this] { context_.run(); });
        caller_.connect({asio::ip::make_address(loopback_address()), port});
    }

    ~pipelining_test() override
    {
        context_.stop();
        thread_.join();
    }

    std::function<void()> handle(
        incoming_request message, std::function<void(entry_result)> done)
    {
        std::lock_guard const lock(mutex_);
        auto const path = message.head.target;
        started_.push_back(path);
        waited_[path] = message.waited;
        pending_[path] = std::move(done);
        changed_.notify_all();
        return [this, path] {
            std::lock_guard const closed_lock(mutex_);
            cancelled_.push_back(path);
            changed_.notify_all();
        };
    }

    static std::string get(std::string const& path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    static std::string post(std::string const& path)
    {
        return "POST " + path +
            " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok";
    }

    void send(std::string const& bytes)
    {
        asio::write(caller_, asio::buffer(bytes));
    }

    /// Waits until `n` requests have started; returns their paths.
    std::vector<std::string> await_started(std::size_t n)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 2s, [&] { return started_.size() >= n; });
        return started_;
    }

    /// The requests that have started after some time without events.
    std::vector<std::string> started_in_the_end()
    {
        std::this_thread::sleep_for(100ms);
        std::lock_guard const lock(mutex_);
        return started_;
    }

    /// Answers a request with its path as the body.
    void answer(std::string const& path, std::string body = {})
    {
        std::function<void(entry_result)> done;
        {
            std::lock_guard const lock(mutex_);
            done = std::move(pending_.at(path));
        }
        asio::post(context_, [done, body = body.empty() ? path : body] {
            done(upstream_answer{200, {}, body});
        });
    }

    /// Refuses a request as not run, with its path as the detail.
    void refuse(std::string const& path)
    {
        std::function<void(entry_result)> done;
        {
            std::lock_guard const lock(mutex_);
            done = std::move(pending_.at(path));
        }
        asio::post(context_, [done, path] {
            done(refusal{refusal_kind::overloaded, outcome::not_run, path, {}});
        });
    }

    /// Whether the caller receives anything within some time.
    bool receives_anything()
    {
        pollfd input{caller_.native_handle(), POLLIN, 0};
        return ::poll(&input, 1, 100) > 0;
    }

    /// Connects the caller anew and forgets all requests.
    void reconnect()
    {
        asio::error_code ec;
        caller_.close(ec);
        caller_.connect({asio::ip::make_address(loopback_address()), port});
        input_.clear();
        std::lock_guard const lock(mutex_);
        started_.clear();
        pending_.clear();
    }

    /// Expects the refusal of a request that cannot be parsed as not run, and
    /// that the connection ends behind it.
    void expect_malformed_refusal()
    {
        auto const refused = read_answer();
        EXPECT_NE(refused.find("\"status\":400"), std::string::npos) << refused;
        EXPECT_NE(refused.find("not_run"), std::string::npos) << refused;
        EXPECT_TRUE(refused.ends_with('*')) << refused;
        EXPECT_EQ(read_answer(), "");
        EXPECT_TRUE(input_.empty()) << input_;
    }

    void stop()
    {
        asio::post(
            context_, [this] { front_.close_connections_after_answers(); });
    }

    /// Reads one answer; returns its body, with a star if it closes the
    /// connection, or nothing if the connection has ended.
    std::string read_answer()
    {
        asio::error_code ec;
        auto const n = asio::read_until(
            caller_, asio::dynamic_buffer(input_), "\r\n\r\n", ec);
        if (ec)
            return {};
        auto const head = input_.substr(0, n);
        auto const at = head.find("Content-Length: ");
        auto const length = std::stoul(head.substr(at + 16));
        while (input_.size() < n + length && !ec) {
            std::array<char, 65536> buf;
            auto const size = caller_.read_some(asio::buffer(buf), ec);
            input_.append(buf.data(), size);
        }
        auto body = input_.substr(n, length);
        input_.erase(0, n + length);
        if (head.find("Connection: close") != std::string::npos)
            body += "*";
        return body;
    }

    asio::io_context context_{1};
    asio::io_context caller_context_{1};
    front_server<native_front_dialect> front_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    std::thread thread_;
    asio::ip::tcp::socket caller_;
    std::string input_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> started_;
    std::vector<std::string> cancelled_;
    std::map<std::string, duration> waited_;
    std::map<std::string, std::function<void(entry_result)>> pending_;
};

using paths = std::vector<std::string>;

TEST_F(pipelining_test, five_requests_in_a_row_run_at_the_same_time)
{
    send(get("/1") + get("/2") + get("/3") + get("/4") + get("/5"));
    EXPECT_EQ(await_started(5), (paths{"/1", "/2", "/3", "/4", "/5"}));
}

TEST_F(pipelining_test, answers_come_in_the_order_of_the_requests)
{
    send(get("/1") + get("/2") + get("/3") + get("/4") + get("/5"));
    await_started(5);
    for (auto const* it : {"/4", "/2", "/5", "/3", "/1"})
        answer(it, "answer to " + std::string(it));
    for (auto const* it : {"/1", "/2", "/3", "/4", "/5"})
        EXPECT_EQ(read_answer(), "answer to " + std::string(it));
}

TEST_F(pipelining_test, order_behind_a_lookup_starts_after_its_answer)
{
    send(get("/1") + post("/2") + get("/3"));
    EXPECT_EQ(await_started(1), (paths{"/1"}));
    EXPECT_EQ(started_in_the_end(), (paths{"/1"}));
    answer("/1");
    EXPECT_EQ(await_started(2), (paths{"/1", "/2"}));
    EXPECT_EQ(started_in_the_end(), (paths{"/1", "/2"}));
    EXPECT_GE(waited_["/2"], 100ms);
    answer("/2");
    EXPECT_EQ(await_started(3), (paths{"/1", "/2", "/3"}));
    answer("/3");
    for (auto const* it : {"/1", "/2", "/3"})
        EXPECT_EQ(read_answer(), it);
}

/// Orders that waited when the stop began, or came later, got no answer.
TEST_F(pipelining_test, stop_answers_every_request_that_was_read)
{
    send(get("/1") + get("/2") + get("/3") + post("/4") + get("/5"));
    await_started(3);
    stop();
    for (auto const* it : {"/1", "/2", "/3"})
        answer(it);
    EXPECT_EQ(read_answer(), "/1");
    EXPECT_EQ(read_answer(), "/2");
    EXPECT_EQ(read_answer(), "/3");
    EXPECT_EQ(await_started(4), (paths{"/1", "/2", "/3", "/4"}));
    refuse("/4");
    EXPECT_NE(read_answer().find("\"/4\""), std::string::npos);
    await_started(5);
    answer("/5");
    EXPECT_EQ(read_answer(), "/5*");
    EXPECT_EQ(read_answer(), "");
}

TEST_F(pipelining_test, request_behind_another_after_the_stop_is_answered)
{
    send(get("/1"));
    await_started(1);
    stop();
    std::this_thread::sleep_for(50ms);
    send(get("/2"));
    EXPECT_EQ(await_started(2), (paths{"/1", "/2"}));
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    answer("/2");
    EXPECT_EQ(read_answer(), "/2*");
    EXPECT_EQ(read_answer(), "");
}

TEST_F(pipelining_test, request_between_two_answers_of_a_stop_is_answered)
{
    send(get("/1") + get("/2"));
    await_started(2);
    stop();
    answer("/2");
    std::this_thread::sleep_for(50ms);
    send(get("/3"));
    EXPECT_EQ(await_started(3), (paths{"/1", "/2", "/3"}));
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    EXPECT_EQ(read_answer(), "/2");
    answer("/3");
    EXPECT_EQ(read_answer(), "/3*");
    EXPECT_EQ(read_answer(), "");
}

TEST_F(pipelining_test, order_with_close_behind_another_is_answered)
{
    send(post("/1") +
        "POST /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n" +
        post("/3"));
    await_started(1);
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    EXPECT_EQ(await_started(2), (paths{"/1", "/2"}));
    answer("/2");
    EXPECT_EQ(read_answer(), "/2*");
    EXPECT_EQ(read_answer(), "");
    EXPECT_EQ(started_in_the_end(), (paths{"/1", "/2"}));
}

TEST_F(pipelining_test, closed_connection_cancels_all_its_requests)
{
    send(get("/1") + get("/2") + get("/3") + post("/4"));
    await_started(3);
    caller_.close();
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, 2s, [&] { return cancelled_.size() >= 3; });
    std::sort(cancelled_.begin(), cancelled_.end());
    EXPECT_EQ(cancelled_, (paths{"/1", "/2", "/3"}));
    EXPECT_EQ(started_.size(), 3u);
}

TEST_F(pipelining_test, request_behind_one_that_closes_does_not_start)
{
    send("GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + get("/2"));
    await_started(1);
    answer("/1");
    EXPECT_EQ(read_answer(), "/1*");
    EXPECT_EQ(started_in_the_end(), (paths{"/1"}));
}

TEST_F(pipelining_test, refusal_behind_a_lookup_keeps_its_place)
{
    send(get("/1") + "PURGE /2 HTTP/1.1\r\nHost: x\r\n\r\n" + get("/3"));
    await_started(2);
    answer("/3");
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    EXPECT_NE(read_answer().find("method_not_allowed"), std::string::npos);
    EXPECT_EQ(read_answer(), "/3");
}

/// The connection stayed open, and a request that came later got no answer.
TEST_F(pipelining_test, stop_behind_answers_out_of_order_closes_connection)
{
    send(get("/1") + get("/2"));
    await_started(2);
    answer("/2");
    std::this_thread::sleep_for(50ms);
    stop();
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    EXPECT_EQ(read_answer(), "/2");
    pollfd end{caller_.native_handle(), POLLIN, 0};
    EXPECT_EQ(::poll(&end, 1, 2000), 1);
    EXPECT_EQ(read_answer(), "");
}

/// The connection was closed at once, and neither order got an answer. One that
/// is answered for another is worse, so the refusal must come last.
TEST_F(pipelining_test, orders_before_malformed_bytes_are_answered_in_order)
{
    send(post("/1") + post("/2") + "no request at all\r\n\r\n");
    EXPECT_EQ(await_started(1), (paths{"/1"}));
    EXPECT_FALSE(receives_anything());
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    EXPECT_EQ(await_started(2), (paths{"/1", "/2"}));
    EXPECT_FALSE(receives_anything());
    answer("/2");
    EXPECT_EQ(read_answer(), "/2");
    expect_malformed_refusal();
}

TEST_F(pipelining_test, malformed_bytes_that_come_later_are_refused_last)
{
    send(post("/1"));
    await_started(1);
    send("no request at all\r\n\r\n");
    EXPECT_FALSE(receives_anything());
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    expect_malformed_refusal();
}

TEST_F(pipelining_test, request_that_breaks_off_in_its_head_is_refused_last)
{
    send(get("/1") + get("/2") + "GET /3 HTTP/1.1\r\nHost");
    await_started(2);
    send(" x\r\n\r\n" + post("/4"));
    answer("/2");
    EXPECT_FALSE(receives_anything());
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    EXPECT_EQ(read_answer(), "/2");
    expect_malformed_refusal();
    EXPECT_EQ(started_in_the_end(), (paths{"/1", "/2"}));
}

TEST_F(pipelining_test, head_that_exceeds_a_limit_is_refused_last)
{
    std::string many_fields;
    for (int n = 0; n < 200; ++n)
        many_fields += "X-Field: 1\r\n";
    for (std::string const& head :
        {"GET /" + std::string(9000, 'a') + " HTTP/1.1\r\n",
            "GET / HTTP/1.1\r\n" + std::string(300, 'b') + ": 1\r\n",
            "GET / HTTP/1.1\r\nX-Field: " + std::string(17'000, 'c') + "\r\n",
            "GET / HTTP/1.1\r\n" + many_fields,
            std::string("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n")}) {
        reconnect();
        send(post("/1") + head + "\r\n");
        await_started(1);
        EXPECT_FALSE(receives_anything());
        answer("/1");
        EXPECT_EQ(read_answer(), "/1");
        expect_malformed_refusal();
        EXPECT_EQ(started_in_the_end(), (paths{"/1"}));
    }
}

TEST_F(pipelining_test, malformed_bytes_of_caller_that_leaves_cancel_its_lookup)
{
    send(get("/1") + "no request at all\r\n\r\n");
    await_started(1);
    std::this_thread::sleep_for(50ms);
    caller_.close();
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, 2s, [&] { return !cancelled_.empty(); });
    EXPECT_EQ(cancelled_, (paths{"/1"}));
}

TEST_F(pipelining_test, stop_with_malformed_bytes_ends_behind_the_last_answer)
{
    send(post("/1") + post("/2") + "no request at all\r\n\r\n");
    await_started(1);
    stop();
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    await_started(2);
    answer("/2");
    EXPECT_EQ(read_answer(), "/2*");
    EXPECT_EQ(read_answer(), "");
}

/// An order that the caller had to take for lost ran later.
TEST_F(pipelining_test, order_behind_closed_connection_does_not_start)
{
    send(post("/1") + post("/2"));
    EXPECT_EQ(await_started(1), (paths{"/1"}));
    caller_.close();
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 2s, [&] { return !cancelled_.empty(); });
    }
    answer("/1");
    EXPECT_EQ(started_in_the_end(), (paths{"/1"}));
}

TEST_F(pipelining_test, refusal_among_orders_keeps_its_place)
{
    send(post("/1") + post("/2") + "PURGE /3 HTTP/1.1\r\nHost: x\r\n\r\n" +
        post("/4"));
    await_started(1);
    EXPECT_FALSE(receives_anything());
    answer("/1");
    EXPECT_EQ(read_answer(), "/1");
    EXPECT_EQ(await_started(2), (paths{"/1", "/2"}));
    EXPECT_FALSE(receives_anything());
    refuse("/2");
    EXPECT_NE(read_answer().find("\"/2\""), std::string::npos);
    EXPECT_NE(read_answer().find("method_not_allowed"), std::string::npos);
    EXPECT_EQ(await_started(3), (paths{"/1", "/2", "/4"}));
    answer("/4");
    EXPECT_EQ(read_answer(), "/4");
}

TEST_F(pipelining_test, order_behind_another_of_caller_that_shuts_down_is_lost)
{
    send(post("/1") + post("/2") + post("/3"));
    await_started(1);
    caller_.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::this_thread::sleep_for(50ms);
    refuse("/1");
    EXPECT_NE(read_answer().find("\"/1\""), std::string::npos);
    EXPECT_EQ(read_answer(), "");
    EXPECT_EQ(started_in_the_end(), (paths{"/1"}));
}

TEST_F(pipelining_test, order_whose_body_is_cut_does_not_start)
{
    send(post("/1") +
        "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\ncut");
    await_started(1);
    caller_.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::this_thread::sleep_for(50ms);
    answer("/1");
    EXPECT_EQ(read_answer(), "/1*");
    EXPECT_EQ(read_answer(), "");
    EXPECT_EQ(started_in_the_end(), (paths{"/1"}));
}

TEST_F(pipelining_test, order_whose_chunked_body_is_cut_does_not_start)
{
    send("POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
         "3\r\nabc\r\n");
    EXPECT_FALSE(receives_anything());
    caller_.shutdown(asio::ip::tcp::socket::shutdown_send);
    EXPECT_NE(read_answer().find("\"status\":400"), std::string::npos);
    EXPECT_EQ(started_in_the_end(), (paths{}));
}

} // namespace
} // namespace pomelohinge
