#include "drivers/http/connection_pool.hpp"
#include "tests/drivers/scripted_target.hpp"

#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// A pool whose thread is busy while a target acts on an idle connection.
class connection_pool_test : public testing::Test
{
protected:
    static constexpr auto answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    /// Runs an exchange to its end. The thread is busy for `pause` after its
    /// start.
    exchange_end run_exchange(scripted_target const& target,
        std::chrono::milliseconds pause = 0ms, std::size_t body_bytes = 0)
    {
        exchange_call call;
        call.address = target.address();
        call.head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
            std::to_string(body_bytes) + "\r\n\r\n";
        call.body = std::string(body_bytes, 'x');
        call.timeout = 2s;
        call.request_id = std::to_string(++last_request_);
        call.named_request = [id = call.request_id](upstream_answer const&) {
            return id;
        };
        std::optional<exchange_end> end;
        pool_.start(std::move(call), [&](exchange_result it) { end = it.end; });
        std::this_thread::sleep_for(pause);
        while (!end)
            context_.run_one();
        return *end;
    }

    int last_request_ = 0;
    buffer_budget buffers_{1 << 20};
    asio::io_context context_{1};
    connection_pool pool_{context_, buffers_};
};

TEST_F(connection_pool_test, connection_that_target_has_closed_is_not_reused)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        it.write(answer);
        it.shut_down();
    });
    constexpr int exchanges = 50;
    int answered = 0;
    for (int n = 0; n < exchanges; ++n) {
        answered += run_exchange(target) == exchange_end::answered ? 1 : 0;
        std::this_thread::sleep_for(5ms);
    }
    EXPECT_EQ(answered, exchanges);
    EXPECT_EQ(target.accepted(), exchanges);
}

TEST_F(connection_pool_test, connection_with_unexpected_bytes_is_not_reused)
{
    scripted_target const target([](target_connection& it) {
        while (!it.read_head().empty()) {
            it.write(answer);
            std::this_thread::sleep_for(5ms);
            it.write(answer);
        }
    });
    EXPECT_EQ(run_exchange(target), exchange_end::answered);
    std::this_thread::sleep_for(50ms);
    EXPECT_EQ(run_exchange(target), exchange_end::answered);
    EXPECT_EQ(target.accepted(), 2);
}

/// The timeout of the connect was taken for that of the request, which had just
/// been sent.
TEST_F(connection_pool_test,
    connect_that_is_noticed_late_does_not_end_the_exchange)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        it.write(answer);
        it.shut_down();
    });
    EXPECT_EQ(run_exchange(target, 500ms), exchange_end::answered);
}

/// A target answers an upload before it has read it, and resets the connection.
/// The reset ends the write, and the read after it sees a plain end of input.
class early_answer_test : public connection_pool_test
{
protected:
    static constexpr std::size_t upload_bytes = 8 << 20;
    static constexpr int exchanges = 8;

    /// Sends uploads that the target answers with `early`, and returns how many
    /// of them ended with an answer.
    int count_answers(std::string const& early)
    {
        scripted_target const target([&](target_connection& it) {
            it.read_head();
            it.write(early);
            std::this_thread::sleep_for(20ms);
            it.reset();
        });
        int answered = 0;
        for (int n = 0; n < exchanges; ++n)
            answered += upload(target) == exchange_end::answered ? 1 : 0;
        return answered;
    }

    exchange_end upload(scripted_target const& target)
    {
        return run_exchange(target, 0ms, upload_bytes);
    }
};

TEST_F(
    early_answer_test, answer_without_a_length_before_a_reset_is_not_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.1 200 OK\r\n\r\nabc"), 0);
}

TEST_F(early_answer_test,
    answer_of_http_1_0_without_a_length_before_a_reset_is_not_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.0 200 OK\r\n\r\nabc"), 0);
}

TEST_F(
    early_answer_test, refusal_without_a_length_before_a_reset_is_not_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.1 503 Service Unavailable\r\n\r\nabc"), 0);
}

TEST_F(early_answer_test,
    interim_answer_before_an_answer_without_a_length_completes_nothing)
{
    EXPECT_EQ(count_answers("HTTP/1.1 100 Continue\r\n\r\n"
                            "HTTP/1.1 200 OK\r\n\r\nabc"),
        0);
}

TEST_F(early_answer_test, answer_that_states_its_length_is_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
        exchanges);
}

TEST_F(early_answer_test, answer_that_ends_with_its_last_chunk_is_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                            "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        exchanges);
}

TEST_F(connection_pool_test,
    answer_without_a_length_to_a_request_that_was_read_is_complete)
{
    scripted_target const target([](target_connection& it) {
        it.read_call();
        it.write("HTTP/1.1 200 OK\r\n\r\nabc");
        it.shut_down();
    });
    EXPECT_EQ(run_exchange(target, 0ms, 1 << 20), exchange_end::answered);
}

/// The reset comes behind the end of the target's output, while the pool's
/// thread is busy. Reads then report only the end.
TEST_F(early_answer_test,
    answer_without_a_length_with_a_reset_behind_its_end_is_not_complete)
{
    constexpr std::size_t small_upload_bytes = 60'000;
    scripted_target const target([](target_connection& it) {
        it.read_head();
        std::this_thread::sleep_for(40ms);
        it.write("HTTP/1.1 200 OK\r\n\r\nabc");
        it.end_output();
        std::this_thread::sleep_for(20ms);
        it.reset();
    });
    asio::steady_timer busy(context_, 20ms);
    busy.async_wait(
        [](asio::error_code) { std::this_thread::sleep_for(120ms); });
    EXPECT_EQ(
        run_exchange(target, 0ms, small_upload_bytes), exchange_end::lost);
}

/// A refusal is no proof unless it is whole, but then it needs no more.
TEST_F(early_answer_test, refusal_that_states_its_length_is_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.0 503 Service Unavailable\r\n"
                            "Content-Length: 3\r\n\r\nabc"),
        exchanges);
}

TEST_F(early_answer_test, answer_without_a_body_is_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.1 204 No Content\r\n\r\n"), exchanges);
}

TEST_F(early_answer_test, part_of_an_answer_with_a_length_is_not_complete)
{
    EXPECT_EQ(
        count_answers("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"), 0);
}

TEST_F(early_answer_test, chunks_without_the_last_one_are_not_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                            "\r\n\r\n3\r\nabc\r\n"),
        0);
}

TEST_F(early_answer_test, interim_answer_alone_is_not_complete)
{
    EXPECT_EQ(count_answers("HTTP/1.1 100 Continue\r\n\r\n"), 0);
}

} // namespace
} // namespace pomelohinge
