#include "drivers/upstream/upstream_dialect.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class native_upstream_dialect_test : public testing::Test
{
protected:
    static attempt_result classify(
        int status, std::vector<header_field> headers)
    {
        upstream_answer answer;
        answer.status = status;
        answer.headers = std::move(headers);
        return native_upstream_dialect::classify(answer);
    }

    header_field const id_{"X-Request-Id", "r1"};
    header_field const not_run_{"Pomelohinge-Outcome", "not_run"};
};

TEST_F(native_upstream_dialect_test,
    outcome_not_run_with_a_status_that_contradicts_it_is_no_proof)
{
    EXPECT_EQ(classify(503, {id_, not_run_}), attempt_result::shed);
    EXPECT_EQ(classify(503, {id_}), attempt_result::server_error);
    for (int const status : {200, 404, 429, 500, 504})
        EXPECT_EQ(
            classify(status, {id_, not_run_}), attempt_result::wrong_answer)
            << status;
}

TEST_F(native_upstream_dialect_test,
    outcome_that_stands_twice_differently_is_no_proof)
{
    EXPECT_EQ(
        classify(503, {id_, not_run_, {"pomelohinge-outcome", "unknown"}}),
        attempt_result::wrong_answer);
    EXPECT_EQ(
        classify(503, {id_, id_, not_run_, not_run_}), attempt_result::shed);
}

} // namespace
} // namespace pomelohinge
