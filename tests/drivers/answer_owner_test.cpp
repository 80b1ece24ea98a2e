#include "drivers/upstream/upstream_client.hpp"
#include "tests/drivers/scripted_target.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// Requests to a target that sends further copies of its answers.
class answer_owner_test : public testing::Test
{
protected:
    static constexpr duration time_limit = 500ms;

    /// An answer that names the request `id`, or none if it is empty.
    static std::string answer(
        int status, std::string const& id, std::string const& more = "")
    {
        auto const name = id.empty() ? "" : "X-Request-Id: " + id + "\r\n";
        return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + name + more +
            "Content-Length: 2\r\n\r\nok";
    }

    static std::string refusal_of(std::string const& id)
    {
        return answer(503, id, "Pomelohinge-Outcome: not_run\r\n");
    }

    static std::string id_in(std::string const& head)
    {
        std::string const name = "X-Request-Id: ";
        auto const at = head.find(name);
        if (at == std::string::npos)
            return {};
        auto const begin = at + name.size();
        return head.substr(begin, head.find('\r', begin) - begin);
    }

    /// Refuses the first request of all with `first`. On its connection `copy`
    /// comes before the answer to the next one.
    static scripted_target::script refuse_and_copy(
        std::string const& first, std::string const& copy)
    {
        auto const refuses = std::make_shared<std::atomic<bool>>(true);
        return [=](target_connection& it) {
            bool has_refused = false;
            for (auto head = it.read_head(); !head.empty();
                 head = it.read_head()) {
                if (refuses->exchange(false)) {
                    has_refused = true;
                    it.write(first);
                    continue;
                }
                if (has_refused)
                    it.write(copy);
                std::this_thread::sleep_for(20ms);
                it.write(answer(200, id_in(head)));
            }
        };
    }

    attempt_end run(scripted_target const& target, std::string const& id,
        std::string const& method = "POST")
    {
        target_record record;
        record.id = target_id(target.address());
        record.address = target.address();
        upstream_request request;
        request.request_id = id;
        request.path = "/";
        request.method = method;
        request.time_limit = time_limit;
        request.echoes_request_id = echoes_request_id_;
        std::optional<attempt_end> end;
        client_.send(record, std::move(request),
            [&](attempt_end it) { end = std::move(it); });
        while (!end)
            context_.run_one();
        return *std::move(end);
    }

    bool echoes_request_id_ = false;
    buffer_budget buffers_{1 << 20};
    asio::io_context context_{1};
    upstream_client<native_upstream_dialect> client_{
        context_, buffers_, 1 << 20};
};

TEST_F(answer_owner_test, copy_of_refusal_does_not_end_the_request_sent_again)
{
    scripted_target const target(
        refuse_and_copy(refusal_of("a"), refusal_of("a")));
    EXPECT_EQ(run(target, "a").result, attempt_result::shed);
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
}

TEST_F(answer_owner_test, copy_of_refusal_without_id_does_not_end_next_request)
{
    scripted_target const target(
        refuse_and_copy(refusal_of(""), refusal_of("")));
    EXPECT_EQ(run(target, "a").result, attempt_result::shed);
    EXPECT_EQ(run(target, "b").result, attempt_result::answered);
}

TEST_F(
    answer_owner_test, refusal_without_id_on_reused_connection_proves_nothing)
{
    scripted_target const target([](target_connection& it) {
        it.write(answer(200, id_in(it.read_head())));
        it.read_head();
        it.write(refusal_of(""));
        it.await_close();
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
    EXPECT_EQ(run(target, "b").result, attempt_result::wrong_answer);
}

TEST_F(answer_owner_test, refusal_that_names_two_requests_proves_nothing)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        it.write(answer(
            503, "b", "X-Request-Id: a\r\nPomelohinge-Outcome: not_run\r\n"));
        it.await_close();
    });
    EXPECT_FALSE(proves_not_run(run(target, "a").result));
    EXPECT_FALSE(proves_not_run(run(target, "b").result));
}

/// A copy of an answer to HEAD states a length, but has no body.
TEST_F(answer_owner_test, copy_of_answer_to_head_does_not_take_the_next_answer)
{
    scripted_target const target([](target_connection& it) {
        std::string const copy = "HTTP/1.1 200 x\r\nX-Request-Id: a\r\n"
                                 "Content-Length: 60\r\n\r\n";
        auto head = it.read_head();
        if (head.starts_with("HEAD")) {
            it.write(copy);
            head = it.read_head();
            if (!head.empty())
                it.write(copy);
        }
        it.write(answer(200, id_in(head)));
        it.await_close();
    });
    EXPECT_EQ(run(target, "a", "HEAD").result, attempt_result::answered);
    EXPECT_EQ(run(target, "b").result, attempt_result::answered);
}

TEST_F(answer_owner_test, answer_behind_many_copies_is_received)
{
    scripted_target const target([](target_connection& it) {
        it.write(answer(200, id_in(it.read_head())));
        auto const id = id_in(it.read_head());
        for (int copies = 0; copies < 12; ++copies)
            it.write(answer(200, "a"));
        it.write(answer(200, id));
        it.await_close();
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
    EXPECT_EQ(run(target, "b").result, attempt_result::answered);
}

TEST_F(answer_owner_test, answers_that_name_requests_keep_the_connection)
{
    scripted_target const target([](target_connection& it) {
        for (auto head = it.read_head(); !head.empty(); head = it.read_head())
            it.write(answer(200, id_in(head)));
    });
    for (std::string const id : {"a", "b", "c", "d"})
        EXPECT_EQ(run(target, id).result, attempt_result::answered);
    EXPECT_EQ(target.accepted(), 1);
}

TEST_F(answer_owner_test, connection_ends_when_it_has_carried_too_many_requests)
{
    scripted_target const target([](target_connection& it) {
        for (auto head = it.read_head(); !head.empty(); head = it.read_head())
            it.write(answer(200, id_in(head)));
    });
    constexpr std::size_t requests = 300;
    std::size_t most = 0;
    for (std::size_t n = 0; n < requests; ++n)
        most =
            std::max(most, run(target, std::to_string(n)).use.earlier_requests);
    EXPECT_LT(most, requests / 2);
    EXPECT_GT(target.accepted(), 1);
}

TEST_F(answer_owner_test, answer_that_names_its_request_twice_is_received)
{
    scripted_target const target([](target_connection& it) {
        auto const id = id_in(it.read_head());
        it.write(answer(200, id, "X-Request-Id: " + id + "\r\n"));
        it.await_close();
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
}

TEST_F(answer_owner_test, blanks_around_an_id_do_not_make_it_another)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        it.write(answer(200, "a "));
        it.read_head();
        it.write(answer(200, "b"));
        it.await_close();
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
    EXPECT_EQ(run(target, "b ").result, attempt_result::answered);
}

/// Two parts of the code disagreed whether these ids differ: the answer counted
/// as the request's own, and then as one that contradicts itself.
TEST_F(answer_owner_test, id_that_stands_twice_with_other_blanks_is_one_id)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        it.write(answer(
            503, "a", "X-Request-Id: a \r\nPomelohinge-Outcome: not_run\r\n"));
        it.await_close();
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::shed);
}

TEST_F(answer_owner_test, answer_with_two_ids_is_not_that_of_both_ids_joined)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        it.write(answer(
            503, "a", "X-Request-Id: b\r\nPomelohinge-Outcome: not_run\r\n"));
        it.await_close();
    });
    EXPECT_EQ(run(target, "a, b").result, attempt_result::wrong_answer);
}

TEST_F(answer_owner_test, answer_with_two_ids_gives_no_notice)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        it.write(answer(503, "a",
            "X-Request-Id: b\r\nPomelohinge-Leaving: 1\r\nRetry-After: 2\r\n"));
        it.await_close();
    });
    auto const end = run(target, "a");
    EXPECT_EQ(end.result, attempt_result::wrong_answer);
    EXPECT_TRUE(end.notice.empty());
}

TEST_F(answer_owner_test, foreign_answer_to_the_first_request_ends_it_at_once)
{
    scripted_target const target([](target_connection& it) {
        it.read_head();
        it.write(refusal_of("other"));
        it.await_close();
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::wrong_answer);
}

/// The body of a copy was read as the answer to a HEAD request.
TEST_F(answer_owner_test, body_of_a_copy_is_no_answer_to_head)
{
    scripted_target const target([](target_connection& it) {
        auto head = it.read_head();
        if (head.starts_with("HEAD")) {
            it.write("HTTP/1.1 200 x\r\nX-Request-Id: b\r\n\r\n");
            return it.await_close();
        }
        auto const body = refusal_of("b");
        auto const copy = "HTTP/1.1 200 x\r\nX-Request-Id: a\r\n"
                          "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        it.write(copy);
        if (!it.read_head().empty())
            it.write(copy);
        it.await_close();
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
    EXPECT_EQ(run(target, "b", "HEAD").result, attempt_result::answered);
}

TEST_F(answer_owner_test, target_that_names_only_some_answers_is_served)
{
    scripted_target const target([](target_connection& it) {
        for (auto head = it.read_head(); !head.empty(); head = it.read_head())
            it.write(answer(200, id_in(head) == "c" ? "" : id_in(head)));
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
    EXPECT_EQ(run(target, "b").result, attempt_result::answered);
    EXPECT_EQ(run(target, "c").result, attempt_result::wrong_answer);
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
    EXPECT_EQ(run(target, "c").result, attempt_result::answered);
}

/// The connection stayed open until it expired, and its target looked cheaper
/// than it was.
TEST_F(answer_owner_test, connection_that_will_not_be_reused_is_closed)
{
    scripted_target const target([](target_connection& it) {
        for (auto head = it.read_head(); !head.empty(); head = it.read_head())
            it.write(answer(200, id_in(head) == "c" ? "" : id_in(head)));
    });
    EXPECT_EQ(run(target, "c").result, attempt_result::answered);
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
    EXPECT_FALSE(client_.is_connected(target.address()));
}

TEST_F(answer_owner_test, answer_without_id_closes_the_idle_connections)
{
    scripted_target const target([](target_connection& it) {
        for (auto head = it.read_head(); !head.empty(); head = it.read_head())
            it.write(answer(200, id_in(head) == "c" ? "" : id_in(head)));
    });
    EXPECT_EQ(run(target, "a").result, attempt_result::answered);
    EXPECT_TRUE(client_.is_connected(target.address()));
    EXPECT_EQ(run(target, "c", "HEAD").result, attempt_result::answered);
    EXPECT_FALSE(client_.is_connected(target.address()));
}

} // namespace
} // namespace pomelohinge
