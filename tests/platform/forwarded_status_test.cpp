#include "platform/dialects.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

/// Answers of targets with all statuses and all sets of the headers that say
/// something of a request.
class forwarded_status_test : public testing::Test
{
protected:
    static constexpr int first_status = 100;
    static constexpr int last_status = 599;

    /// Calls `check` with each answer.
    template <class Check>
    static void for_each_answer(Check check)
    {
        std::vector<header_field> const fields{{"X-Request-Id", "r1"},
            {"X-Response-Signature", "s"}, {"X-Not-Executed", "1"},
            {"Retry-After", "0.1"}, {"Content-Encoding", "gzip"}};
        for (int status = first_status; status <= last_status; ++status)
            for (std::size_t set = 0; set < 1u << fields.size(); ++set) {
                upstream_answer answer;
                answer.status = status;
                for (std::size_t it = 0; it < fields.size(); ++it)
                    if ((set >> it & 1) != 0)
                        answer.headers.push_back(fields[it]);
                check(answer);
            }
    }

    static bool is_promise(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
};

TEST_F(forwarded_status_test, answer_that_is_forwarded_promises_nothing)
{
    for_each_answer([](upstream_answer const& answer) {
        if (has_answer(upstream_dialect::classify(answer)))
            EXPECT_FALSE(is_promise(answer.status)) << answer.status;
    });
}

TEST_F(forwarded_status_test, promise_without_proof_does_not_count_as_not_run)
{
    for_each_answer([](upstream_answer const& answer) {
        bool const has_proof = answer.status == 421 ||
            std::ranges::any_of(answer.headers,
                [](auto const& it) { return it.name == "X-Not-Executed"; });
        if (!has_proof)
            EXPECT_FALSE(proves_not_run(upstream_dialect::classify(answer)))
                << answer.status;
    });
}

TEST_F(forwarded_status_test, refusal_of_what_may_have_run_promises_nothing)
{
    for (auto const& end : name_table<attempt_result>)
        for (bool const may_have_run : {false, true}) {
            if (has_answer(end.value))
                continue;
            auto const refused = refusal_after(
                end.value, may_have_run || !proves_not_run(end.value));
            auto const status =
                front_dialect::encode_refusal(refused, "r1").status;
            EXPECT_EQ(
                is_promise(status), !may_have_run && proves_not_run(end.value))
                << end.name << " " << status;
        }
}

} // namespace
} // namespace pomelohinge::platform
