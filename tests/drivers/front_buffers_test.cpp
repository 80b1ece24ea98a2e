#include "drivers/front/front_server.hpp"
#include "servers/requests/attempt.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <algorithm>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// Large requests to a front server with a small budget for them. The server
/// and the callers run on one thread. Requests are open until a test answers
/// them.
class front_buffers_test : public testing::Test
{
protected:
    static constexpr std::uint16_t port = 18080;
    static constexpr std::size_t max_body_bytes = 1 << 20;
    static constexpr std::size_t total_bytes = 4 << 20;
    /// One request may exceed the budget.
    static constexpr std::size_t max_peak_bytes = total_bytes + max_body_bytes;

    front_buffers_test()
        : front_(context_,
              {[this](incoming_request message,
                   std::function<void(entry_result)> done) {
                   open_.push_back({std::move(message), std::move(done)});
                   return [] {
                   };
               },
                  [](request_head const&) { return true; },
                  [](data_centre_id const&) {
                      return entry_answer{};
                  }},
              {.max_body_bytes = max_body_bytes, .buffer_bytes = total_bytes})
    {
        auto const status =
            front_.listen(loopback_address() + ":" + std::to_string(port));
        EXPECT_TRUE(status.ok()) << status.message();
    }

    struct open_request
    {
        incoming_request message;
        std::function<void(entry_result)> done;
    };

    /// A caller that writes its bytes, reads until the connection ends and then
    /// closes it unless it stays open.
    struct caller
    {
        explicit caller(asio::io_context& context) : socket(context) {}

        asio::ip::tcp::socket socket;
        std::string bytes;
        std::string answer;
        bool ended = false;
        bool stays_open = false;
    };
    using caller_pointer = std::shared_ptr<caller>;

    caller_pointer send(std::string bytes)
    {
        auto it = std::make_shared<caller>(context_);
        it->bytes = std::move(bytes);
        it->socket.connect({asio::ip::make_address(loopback_address()), port});
        asio::async_write(it->socket, asio::buffer(it->bytes),
            [it](asio::error_code, std::size_t) {});
        asio::async_read(it->socket, asio::dynamic_buffer(it->answer),
            [it](asio::error_code, std::size_t) {
                it->ended = true;
                if (!it->stays_open)
                    it->socket.close();
            });
        return it;
    }

    static std::string request(std::size_t bytes)
    {
        return head("Content-Length: " + std::to_string(bytes)) +
            std::string(bytes, 'x');
    }

    static std::string head(std::string const& header)
    {
        return "POST /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: id-1\r\n"
               "Connection: close\r\n" +
            header + "\r\n\r\n";
    }

    static std::string chunked(std::size_t chunks, std::size_t chunk_bytes)
    {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", chunk_bytes);
        auto const chunk = size + std::string(chunk_bytes, 'x') + "\r\n";
        auto text = head("Transfer-Encoding: chunked");
        for (std::size_t it = 0; it < chunks; ++it)
            text += chunk;
        return text + "0\r\n\r\n";
    }

    std::vector<caller_pointer> send_many(std::string const& bytes, int count)
    {
        std::vector<caller_pointer> callers;
        callers.reserve(static_cast<std::size_t>(count));
        for (int it = 0; it < count; ++it)
            callers.push_back(send(bytes));
        return callers;
    }

    void answer_open()
    {
        for (auto& it : std::exchange(open_, {}))
            it.done(upstream_answer{200, {}, "done", {}});
    }

    /// Runs until all callers have ended; answers requests meanwhile if
    /// `answers` is set.
    void run_until_ended(
        std::vector<caller_pointer> const& callers, bool answers)
    {
        auto const is_open = [](auto const& it) {
            return !it->ended;
        };
        auto const end = std::chrono::steady_clock::now() + 20s;
        while (std::ranges::any_of(callers, is_open) &&
            std::chrono::steady_clock::now() < end) {
            context_.run_for(20ms);
            if (answers)
                answer_open();
        }
    }

    /// Counts the answers that begin with a status.
    static int count(
        std::vector<caller_pointer> const& callers, std::string const& status)
    {
        return static_cast<int>(
            std::ranges::count_if(callers, [&](auto const& it) {
                return it->answer.starts_with("HTTP/1.1 " + status);
            }));
    }

    /// Sends `part` of a request while there is no room for it, and `rest` with
    /// a further request once it has been refused and there is room.
    void expect_refused_for_good(
        std::string const& part, std::string const& rest)
    {
        auto const holders = send_many(request(900'000), 6);
        context_.run_for(100ms);
        auto const it = send(part);
        it->stays_open = true;
        context_.run_for(1300ms);
        auto const at = it->answer.find("HTTP/1.1 503");
        EXPECT_NE(at, std::string::npos) << it->answer;
        answer_open();
        run_until_ended(holders, true);
        EXPECT_EQ(used_bytes(), 0u);
        auto const bytes = rest + "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
        asio::async_write(it->socket, asio::buffer(bytes),
            [](asio::error_code, std::size_t) {});
        context_.run_for(300ms);
        EXPECT_TRUE(open_.empty()) << "it runs";
        EXPECT_EQ(it->answer.find("HTTP/1.1", at + 1), std::string::npos)
            << it->answer;
    }

    std::size_t used_bytes() const
    {
        return front_.buffers().large().used_bytes +
            front_.buffers().small().used_bytes;
    }
    std::size_t peak_bytes() const
    {
        return front_.buffers().large().peak_bytes +
            front_.buffers().small().peak_bytes;
    }

    asio::io_context context_{1};
    std::vector<open_request> open_;
    front_server<native_front_dialect> front_;
};

/// A burst of large requests took a VM over its memory, which cut the requests
/// that it had passed on.
TEST_F(front_buffers_test, large_requests_without_room_are_refused_as_not_run)
{
    constexpr int requests = 20;
    auto const callers = send_many(request(900'000), requests);
    context_.run_for(2s);
    EXPECT_GE(open_.size(), 3u);
    auto const held = static_cast<int>(open_.size());
    EXPECT_EQ(count(callers, "503"), requests - held);
    for (auto const& it : callers)
        if (it->ended) {
            EXPECT_NE(it->answer.find("Outcome: not_run"), std::string::npos);
            EXPECT_NE(it->answer.find("Retry-After: "), std::string::npos);
            EXPECT_NE(it->answer.find("id-1"), std::string::npos);
        }
    answer_open();
    run_until_ended(callers, true);
    EXPECT_EQ(count(callers, "200"), held);
    EXPECT_LE(peak_bytes(), max_peak_bytes);
    EXPECT_EQ(used_bytes(), 0u);
}

TEST_F(front_buffers_test, large_requests_that_exceed_the_budget_take_turns)
{
    constexpr int requests = 20;
    auto const callers = send_many(request(900'000), requests);
    run_until_ended(callers, true);
    EXPECT_EQ(count(callers, "200"), requests);
    EXPECT_LE(peak_bytes(), max_peak_bytes);
    EXPECT_EQ(used_bytes(), 0u);
}

TEST_F(front_buffers_test, small_requests_are_served_beside_large_ones)
{
    auto const large = send_many(request(900'000), 10);
    context_.run_for(100ms);
    auto const held = open_.size();
    auto small = send_many(request(1000), 10);
    for (auto const& it : send_many(request(100'000), 5))
        small.push_back(it);
    context_.run_for(300ms);
    EXPECT_EQ(open_.size(), held + small.size());
    answer_open();
    run_until_ended(small, true);
    EXPECT_EQ(count(small, "200"), 15);
}

TEST_F(front_buffers_test, chunked_requests_stay_within_the_budget)
{
    auto const callers = send_many(chunked(90, 10'000), 20);
    context_.run_for(2s);
    EXPECT_LE(peak_bytes(), max_peak_bytes);
    answer_open();
    run_until_ended(callers, true);
    EXPECT_EQ(count(callers, "200") + count(callers, "503"), 20);
    EXPECT_EQ(used_bytes(), 0u);
}

/// The record of a chunk takes more memory than a chunk of one byte.
TEST_F(front_buffers_test, body_in_too_many_chunks_is_refused)
{
    auto const callers = send_many(chunked(100'000, 1), 1);
    run_until_ended(callers, false);
    EXPECT_EQ(count(callers, "413"), 1);
    EXPECT_TRUE(open_.empty());
}

/// A caller that stalls within a body keeps the memory that it has charged only
/// while it is connected.
TEST_F(front_buffers_test, charge_of_a_disconnected_caller_is_returned)
{
    auto const caller = send(head("Content-Length: 900000") + "x");
    context_.run_for(50ms);
    EXPECT_GE(used_bytes(), 900'000u);
    caller->socket.close();
    context_.run_for(50ms);
    EXPECT_EQ(used_bytes(), 0u);
}

/// Callers that stalled within a body kept the memory for all others for 120 s.
TEST_F(front_buffers_test, stalled_callers_make_room_for_others)
{
    auto const stalled =
        send_many(head("Content-Length: 900000") + std::string(1000, 'x'), 6);
    context_.run_for(100ms);
    auto const refused = send_many(request(900'000), 1);
    context_.run_for(1500ms);
    EXPECT_EQ(count(refused, "503"), 1);
    EXPECT_EQ(count(stalled, "400"), 0);
    context_.run_for(4s);
    auto const callers = send_many(request(900'000), 1);
    run_until_ended(callers, true);
    EXPECT_EQ(count(callers, "200"), 1);
    context_.run_for(100ms);
    auto const given_up = count(stalled, "400");
    EXPECT_GE(given_up, 1);
    for (auto const& it : stalled)
        if (it->answer.starts_with("HTTP/1.1 400"))
            EXPECT_NE(it->answer.find("Outcome: not_run"), std::string::npos);
}

TEST_F(front_buffers_test, stalled_request_behind_an_order_is_refused_last)
{
    auto const stalled = send("POST /a HTTP/1.1\r\nHost: x\r\n"
                              "Content-Length: 0\r\n\r\n" +
        head("Content-Length: 900000") + std::string(1000, 'x'));
    context_.run_for(100ms);
    ASSERT_EQ(open_.size(), 1u);
    auto const order = std::move(open_.back());
    open_.pop_back();
    auto const holders =
        send_many(head("Content-Length: 900000") + std::string(1000, 'x'), 5);
    context_.run_for(5500ms);
    auto const caller = send_many(request(900'000), 1);
    run_until_ended(caller, true);
    EXPECT_EQ(count(caller, "200"), 1);
    EXPECT_EQ(stalled->answer.find("HTTP/1.1"), std::string::npos);
    order.done(upstream_answer{200, {}, "ordered", {}});
    run_until_ended({stalled}, true);
    EXPECT_TRUE(stalled->answer.starts_with("HTTP/1.1 200")) << stalled->answer;
    EXPECT_NE(stalled->answer.find("orderedHTTP/1.1 400"), std::string::npos)
        << stalled->answer;
}

TEST_F(front_buffers_test, stalled_caller_keeps_its_request_while_there_is_room)
{
    auto const caller =
        send(head("Content-Length: 900000") + std::string(1000, 'x'));
    context_.run_for(6s);
    EXPECT_EQ(caller->answer.find("HTTP/1.1"), std::string::npos);
    auto const rest = std::string(899'000, 'x');
    asio::async_write(caller->socket, asio::buffer(rest),
        [](asio::error_code, std::size_t) {});
    run_until_ended({caller}, true);
    EXPECT_EQ(count({caller}, "200"), 1);
}

TEST_F(front_buffers_test, body_is_passed_on_without_a_copy)
{
    auto const callers = send_many(request(500'000), 1);
    context_.run_for(100ms);
    ASSERT_EQ(open_.size(), 1u);
    auto const& message = open_.front().message;
    auto const sent = make_upstream_request(message, {}, 1s);
    EXPECT_EQ(sent.body.size(), 500'000u);
    EXPECT_EQ(std::string_view(sent.body).data(),
        std::string_view(message.body).data());
    answer_open();
    run_until_ended(callers, true);
}

/// The second request is charged although its first bytes came with the first.
TEST_F(front_buffers_test, large_request_behind_a_small_one_is_charged)
{
    auto const caller = send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n" +
        head("Content-Length: 900000") + std::string(1000, 'x'));
    context_.run_for(50ms);
    EXPECT_EQ(open_.size(), 1u);
    EXPECT_GE(used_bytes(), 900'000u);
    caller->socket.close();
    context_.run_for(50ms);
}

TEST_F(front_buffers_test, refused_request_whose_body_comes_does_not_run)
{
    expect_refused_for_good(
        request(900'000).substr(0, 100'000), std::string(800'000, 'x'));
}

TEST_F(front_buffers_test, refused_request_that_expected_continue_does_not_run)
{
    expect_refused_for_good(
        head("Expect: 100-continue\r\nContent-Length: 900000"),
        std::string(900'000, 'x'));
}

TEST_F(front_buffers_test, refused_request_whose_chunks_come_does_not_run)
{
    auto const whole = chunked(90, 10'000);
    auto const part = whole.size() - 100'000;
    expect_refused_for_good(whole.substr(0, part), whole.substr(part));
}

TEST_F(front_buffers_test, refusal_behind_an_order_comes_after_its_answer)
{
    auto const holders = send_many(request(900'000), 6);
    context_.run_for(100ms);
    auto const caller =
        send("POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" +
            request(900'000));
    context_.run_for(2500ms);
    EXPECT_EQ(caller->answer.find("HTTP/1.1"), std::string::npos);
    ASSERT_EQ(open_.back().message.head.target, "/order");
    auto const order = std::move(open_.back());
    open_.pop_back();
    order.done(upstream_answer{200, {}, "ordered", {}});
    context_.run_for(1500ms);
    EXPECT_TRUE(caller->answer.starts_with("HTTP/1.1 200")) << caller->answer;
    auto const refused = caller->answer.find("HTTP/1.1 503");
    EXPECT_NE(refused, std::string::npos) << caller->answer;
    EXPECT_LT(caller->answer.find("ordered"), refused);
    EXPECT_EQ(caller->answer.find("HTTP/1.1", refused + 1), std::string::npos);
    answer_open();
    run_until_ended(holders, true);
}

TEST_F(front_buffers_test, refusal_does_not_enter_an_answer_that_is_written)
{
    constexpr std::size_t answer_bytes = 24 << 20;
    auto const holders = send_many(request(900'000), 6);
    context_.run_for(100ms);
    auto const held = open_.size();
    asio::ip::tcp::socket caller(context_);
    caller.connect({asio::ip::make_address(loopback_address()), port});
    asio::write(caller,
        asio::buffer("GET /a HTTP/1.1\r\nHost: x\r\n\r\n" +
            head("Content-Length: 900000") + std::string(1000, 'x')));
    context_.run_for(100ms);
    ASSERT_EQ(open_.size(), held + 1);
    open_.back().done(
        upstream_answer{200, {}, std::string(answer_bytes, 'a'), {}});
    open_.pop_back();
    // The request waits for room for longer than it may.
    context_.run_for(1500ms);
    std::string received;
    asio::async_read(caller, asio::dynamic_buffer(received),
        [](asio::error_code, std::size_t) {});
    context_.run_for(2s);
    auto const begin = received.find("\r\n\r\n") + 4;
    ASSERT_GE(received.size(), begin + answer_bytes);
    EXPECT_EQ(received.find_first_not_of('a', begin), begin + answer_bytes);
    EXPECT_EQ(received.find("HTTP/1.1 503"), begin + answer_bytes);
}

} // namespace
} // namespace pomelohinge
