#include "drivers/front/front_server.hpp"
#include "drivers/front/http_messages.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace pomelohinge {
namespace {

/// A front server on loopback whose requests are answered by the test.
class front_test : public testing::Test
{
protected:
    static constexpr std::uint16_t port = 18080;
    static constexpr std::size_t max_body_bytes = 2000;

    front_test()
        : front_(context_,
              {[this](incoming_request message,
                   std::function<void(entry_result)> done) {
                   return handle(std::move(message), std::move(done));
               },
                  [](request_head const&) { return true; },
                  [](data_centre_id const&) {
                      return entry_answer{
                          {"127.0.0.1:1"}, std::chrono::seconds(9)};
                  }},
              {max_body_bytes}),
          work_guard_(context_.get_executor())
    {
        auto const status =
            front_.listen(loopback_address() + ":" + std::to_string(port));
        EXPECT_TRUE(status.ok()) << status.message();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~front_test() override
    {
        context_.stop();
        thread_.join();
    }

    std::function<void()> handle(
        incoming_request message, std::function<void(entry_result)> done)
    {
        ++handled_;
        handled_.notify_all();
        if (message.head.target == "/hang")
            return [this] {
                caller_closed_ = true;
                caller_closed_.notify_all();
            };
        last_ = message;
        done(upstream_answer{200, {{"X-Served", "yes"}}, "whole"});
        return [] {
        };
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(caller_context_);
        socket.connect({asio::ip::make_address(loopback_address()), port});
        return socket;
    }

    /// Sends raw bytes and returns everything received until the connection
    /// ends.
    std::string exchange(std::string const& bytes)
    {
        auto socket = connect();
        asio::error_code ec;
        asio::write(socket, asio::buffer(bytes), ec);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ec);
        return answer;
    }

    /// Sends a POST request with additional headers and a body.
    std::string request(std::string const& headers, std::string body = {})
    {
        return exchange("POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
            headers + "Content-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body);
    }

    /// Expects a refusal with the outcome `not_run`, and that no handler was
    /// called.
    void expect_refused(std::string const& answer, std::string const& status)
    {
        EXPECT_NE(answer.find("HTTP/1.1 " + status), std::string::npos)
            << answer;
        EXPECT_NE(
            answer.find("Pomelohinge-Outcome: not_run"), std::string::npos);
        EXPECT_NE(answer.find("\"outcome\":\"not_run\""), std::string::npos);
        EXPECT_EQ(handled_, 0);
    }

    asio::io_context context_{1};
    asio::io_context caller_context_{1};
    front_server<native_front_dialect> front_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    std::thread thread_;
    std::atomic<int> handled_ = 0;
    std::atomic<bool> caller_closed_ = false;
    incoming_request last_;
};

TEST_F(
    front_test, request_with_key_and_forged_header_reaches_handler_without_them)
{
    auto const answer =
        request("Authorization: Bearer secret\r\nX-Request-Id: id-1\r\n"
                "Pomelohinge-Organisation: forged\r\nAccept: */*\r\n",
            "abc");
    EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
    EXPECT_NE(answer.find("X-Request-Id: id-1"), std::string::npos);
    EXPECT_EQ(last_.body, "abc");
    EXPECT_EQ(last_.head.key, hash_key("secret"));
    ASSERT_EQ(last_.headers.size(), 1u);
    EXPECT_EQ(last_.headers.front().name, "Accept");
}

TEST_F(front_test, request_that_cannot_be_parsed_is_refused)
{
    expect_refused(exchange("garbage\r\n\r\n"), "400");
}

/// http_parser lets some of these through.
TEST_F(front_test, request_with_malformed_head_is_refused)
{
    std::string const line = "POST /a HTTP/1.1\r\n";
    std::string const rest =
        "Host: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    for (std::string const& start : {
             std::string("POST /a HTTP/0.9\r\n"),
             std::string("POST /a HTTP/1.2\r\n"),
             std::string("POST /a HTTP/2.0\r\n"),
             std::string("POST /a\r\n"),
             std::string("POST  /a HTTP/1.1\r\n"),
             std::string("POST /a\tb HTTP/1.1\r\n"),
             std::string("POST /a\x7f HTTP/1.1\r\n"),
             std::string("POST /a HTTP/1.1\n"),
             std::string("\nPOST /a HTTP/1.1\r\n"),
             line + "X-Mark: 1\n",
             line + "X-Mark : 1\r\n",
             line + "X-Mark: 1\r\n folded\r\n",
             line + "X-Mark:\r\n\t1\r\n",
             line + "X-Mark: 1\x01\r\n",
             line + "X-Mark: 1\x7f\r\n",
             line + "X-Mark: 1" + std::string(1, '\0') + "\r\n",
             line + "X\xe4rk: 1\r\n",
             line + "X-Mark\r\n",
         })
        expect_refused(exchange(start + rest), "400");
}

TEST_F(front_test, blank_lines_before_a_request_are_skipped)
{
    auto const answer = exchange("\r\n\r\nPOST /a HTTP/1.1\r\nHost: x\r\n"
                                 "Connection: close\r\n"
                                 "Content-Length: 0\r\n\r\n");
    EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
}

TEST_F(front_test, request_with_two_lengths_is_refused)
{
    expect_refused(exchange("POST /a HTTP/1.1\r\nHost: x\r\n"
                            "Content-Length: 3\r\nContent-Length: 4\r\n\r\n"
                            "abcd"),
        "400");
}

TEST_F(front_test, request_with_length_and_chunked_encoding_is_refused)
{
    expect_refused(exchange("POST /a HTTP/1.1\r\nHost: x\r\n"
                            "Content-Length: 3\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "0\r\n\r\n"),
        "400");
}

TEST_F(front_test, request_with_oversized_header_is_refused)
{
    expect_refused(
        request("X-Long: " + std::string(20'000, 'x') + "\r\n"), "400");
}

TEST_F(front_test, request_with_oversized_path_is_refused)
{
    expect_refused(exchange("GET /" + std::string(9'000, 'p') +
                       " HTTP/1.1\r\nHost: x\r\n\r\n"),
        "400");
}

TEST_F(front_test, request_with_oversized_body_is_refused_as_too_large)
{
    expect_refused(request("", std::string(max_body_bytes + 1, 'b')), "413");
}

TEST_F(front_test, request_with_repeated_header_is_refused)
{
    expect_refused(request("Authorization: Bearer a\r\n"
                           "Authorization: Bearer b\r\n"),
        "400");
    expect_refused(
        request("Idempotency-Key: a\r\nIdempotency-Key: a\r\n"), "400");
}

TEST_F(front_test, request_with_non_numeric_deadline_is_refused)
{
    expect_refused(request("Pomelohinge-Deadline-Ms: soon\r\n"), "400");
}

TEST_F(front_test, request_with_unknown_method_is_refused)
{
    expect_refused(exchange("PURGE /a HTTP/1.1\r\nHost: x\r\n"
                            "Connection: close\r\n\r\n"),
        "405");
}

TEST_F(front_test, connection_closed_by_caller_cancels_waiting_request)
{
    {
        auto socket = connect();
        std::string const bytes = "GET /hang HTTP/1.1\r\nHost: x\r\n\r\n";
        asio::write(socket, asio::buffer(bytes));
        handled_.wait(0);
    }
    // If the closed connection is not detected, this waits until the time limit
    // of the test run.
    caller_closed_.wait(false);
    EXPECT_EQ(front_.open_requests(), 0u);
}

TEST_F(front_test, entry_question_is_answered_with_addresses)
{
    auto const answer =
        exchange("GET /.pomelohinge/entries HTTP/1.1\r\nHost: x\r\n"
                 "Connection: close\r\n\r\n");
    EXPECT_NE(
        answer.find("{\"addresses\":[\"127.0.0.1:1\"],\"ttl_seconds\":9.0}"),
        std::string::npos)
        << answer;
}

} // namespace
} // namespace pomelohinge
