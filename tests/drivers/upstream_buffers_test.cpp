#include "drivers/http/answer_parser.hpp"
#include "drivers/upstream/upstream_client.hpp"
#include "tests/drivers/scripted_target.hpp"

#include <gtest/gtest.h>
#include <map>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// Answers of targets that are large, never end or are no answers. The client
/// has a small budget for them.
class upstream_buffers_test : public testing::Test
{
protected:
    static constexpr std::size_t max_answer_bytes = 1 << 20;
    static constexpr std::size_t total_bytes = 4 << 20;
    /// The oldest answer may exceed the budget, and each answer may hold a
    /// little without being charged.
    static constexpr std::size_t max_peak_bytes =
        total_bytes + max_answer_bytes;

    /// How a target states the length of an answer.
    enum class framing { length, chunked, until_close };

    static std::string head(framing framed, std::size_t length)
    {
        std::string const start = "HTTP/1.1 200 OK\r\n";
        switch (framed) {
        case framing::length:
            return start + "Content-Length: " + std::to_string(length) +
                "\r\n\r\n";
        case framing::chunked:
            return start + "Transfer-Encoding: chunked\r\n\r\n";
        case framing::until_close:
            return start + "Connection: close\r\n\r\n";
        }
        return {};
    }

    static std::string piece(framing framed, std::size_t bytes)
    {
        std::string const data(bytes, 'x');
        if (framed != framing::chunked)
            return data;
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", bytes);
        return size + data + "\r\n";
    }

    /// Serves requests with answers of which `sent` of `length` bytes come.
    static scripted_target::script answers(
        framing framed, std::size_t length, std::size_t sent)
    {
        return [=](target_connection& it) {
            constexpr std::size_t piece_bytes = 16 << 10;
            while (!it.read_head().empty()) {
                it.write(head(framed, length));
                for (std::size_t n = 0; n < sent; n += piece_bytes)
                    it.write(piece(framed, std::min(piece_bytes, sent - n)));
                if (sent < length)
                    return it.await_close();
                if (framed == framing::chunked)
                    it.write("0\r\n\r\n");
                if (framed == framing::until_close)
                    return it.shut_down();
            }
        };
    }

    /// Starts requests to a target; their results are counted in `results_`.
    void request(scripted_target const& target, int count, duration limit = 1s)
    {
        for (int it = 0; it < count; ++it) {
            target_record record;
            record.id = target_id(target.address());
            record.address = target.address();
            upstream_request request;
            request.request_id = "r" + std::to_string(open_);
            request.path = "/";
            request.method = "GET";
            request.time_limit = limit;
            request.idempotent = true;
            request.echoes_request_id = false;
            ++open_;
            client_.send(record, std::move(request),
                [this, address = target.address()](attempt_end end) {
                    ++results_[{address, end.result}];
                    received_bytes_ += end.answer.body.size();
                    --open_;
                });
        }
    }

    /// Runs until all requests have ended.
    void await_results()
    {
        while (open_ > 0)
            context_.run_one();
    }

    int count(scripted_target const& target, attempt_result result) const
    {
        auto const it = results_.find({target.address(), result});
        return it == results_.end() ? 0 : it->second;
    }

    buffer_budget buffers_{total_bytes};
    asio::io_context context_{1};
    upstream_client<native_upstream_dialect> client_{
        context_, buffers_, max_answer_bytes};
    int open_ = 0;
    std::map<std::pair<std::string, attempt_result>, int> results_;
    std::size_t received_bytes_ = 0;
};

/// A faulty target sent a part of each answer and stalled; the VM kept the
/// parts of all of them and ran out of memory.
TEST_F(upstream_buffers_test, answers_that_stall_stay_within_the_budget)
{
    constexpr int callers = 60;
    for (auto const framed :
        {framing::length, framing::chunked, framing::until_close}) {
        scripted_target const faulty(
            answers(framed, max_answer_bytes, max_answer_bytes - 1000));
        request(faulty, callers);
        await_results();
        EXPECT_EQ(count(faulty, attempt_result::timed_out), callers);
    }
    EXPECT_GT(buffers_.usage().peak_bytes, std::size_t{100'000});
    EXPECT_LE(buffers_.usage().peak_bytes, max_peak_bytes);
    EXPECT_GT(buffers_.usage().waits, 0u);
    EXPECT_EQ(buffers_.usage().used_bytes, 0u);
}

TEST_F(upstream_buffers_test, other_targets_are_served_beside_stalled_answers)
{
    scripted_target const faulty(
        answers(framing::chunked, max_answer_bytes, max_answer_bytes - 1000));
    scripted_target const small(answers(framing::length, 4000, 4000));
    scripted_target const large(answers(framing::length, 500'000, 500'000));
    request(faulty, 40, 2s);
    for (int it = 0; it < 20; ++it)
        context_.run_for(10ms);
    constexpr int requests = 10;
    request(small, requests, 500ms);
    request(large, requests, 500ms);
    await_results();
    EXPECT_EQ(count(small, attempt_result::answered), requests);
    EXPECT_EQ(count(large, attempt_result::answered), requests);
}

TEST_F(upstream_buffers_test, large_answers_that_exceed_the_budget_take_turns)
{
    constexpr int requests = 20;
    constexpr std::size_t bytes = 900'000;
    for (auto const framed :
        {framing::length, framing::chunked, framing::until_close}) {
        scripted_target const target(answers(framed, bytes, bytes));
        request(target, requests, 10s);
        await_results();
        EXPECT_EQ(count(target, attempt_result::answered), requests);
    }
    EXPECT_EQ(received_bytes_, 3 * requests * bytes);
    EXPECT_LE(buffers_.usage().peak_bytes, max_peak_bytes);
    EXPECT_EQ(buffers_.usage().used_bytes, 0u);
}

TEST_F(
    upstream_buffers_test, answer_that_states_too_great_a_length_ends_at_once)
{
    scripted_target const faulty(
        answers(framing::length, max_answer_bytes + 1, 0));
    auto const begin = std::chrono::steady_clock::now();
    request(faulty, 1, 5s);
    await_results();
    EXPECT_EQ(count(faulty, attempt_result::too_large), 1);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 4s);
}

TEST_F(upstream_buffers_test, bytes_without_end_end_the_attempt)
{
    for (std::string const bytes :
        {"garbage", "X-Field: value\r\n", "a:\r\n", "X-Long-Field-Name"}) {
        scripted_target const faulty([&](target_connection& it) {
            it.read_head();
            std::string block;
            while (block.size() < 4096)
                block += bytes;
            it.write("HTTP/1.1 200 OK\r\n");
            while (it.write(block))
                ;
        });
        request(faulty, 1, 5s);
        await_results();
        EXPECT_EQ(count(faulty, attempt_result::wrong_answer), 1) << bytes;
    }
}

/// Short header lines took sixteen times their size in memory.
TEST_F(upstream_buffers_test, head_with_too_many_fields_is_no_answer)
{
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    for (int it = 0; it < 300; ++it)
        bytes += "a:\r\n";
    answer_parser parser(false, max_answer_bytes);
    std::size_t consumed = 0;
    EXPECT_EQ(
        parser.parse(bytes, consumed), answer_parser::progress::unparsable);
}

TEST_F(upstream_buffers_test, body_without_end_ends_the_attempt)
{
    for (auto const framed : {framing::chunked, framing::until_close}) {
        scripted_target const faulty(
            answers(framed, 10 * max_answer_bytes, 10 * max_answer_bytes - 1));
        request(faulty, 1, 5s);
        await_results();
        EXPECT_EQ(count(faulty, attempt_result::too_large), 1);
    }
}

} // namespace
} // namespace pomelohinge
