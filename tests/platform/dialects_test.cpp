#include "drivers/front/http_messages.hpp"
#include "platform/dialects.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

class front_dialect_test : public testing::Test
{
protected:
    static refusal make(refusal_kind kind, outcome result)
    {
        return {kind, result, "detail", std::chrono::milliseconds(250)};
    }

    static std::string header_of(
        refusal_response const& form, std::string_view name)
    {
        for (auto const& it : form.headers)
            if (it.name == name)
                return it.value;
        return {};
    }
};

TEST_F(front_dialect_test, parse_takes_the_key_out_of_what_is_passed_on)
{
    auto const it = front_dialect::parse("POST", "/a/b?c",
        {{"Host", "Shop.Example:8405"}, {"X-Request-Id", "r1"},
            {"X-Deadline-Ms", "1500"}, {"x-api-key", "secret"},
            {"X-Tenant", "forged"}, {"X-Target-Instance", "forged"},
            {"Connection", "keep-alive"}, {"Accept", "*/*"}});
    ASSERT_TRUE(std::holds_alternative<incoming_request>(it));
    auto const& message = std::get<incoming_request>(it);
    EXPECT_EQ(message.head.host, "shop.example");
    EXPECT_EQ(message.head.request_id, "r1");
    EXPECT_EQ(message.head.deadline, std::chrono::milliseconds(1500));
    EXPECT_EQ(message.head.key, hash_key("secret"));
    ASSERT_EQ(message.headers.size(), 1u);
    EXPECT_EQ(message.headers.front().name, "Accept");
}

TEST_F(front_dialect_test, parse_of_a_deadline_that_is_no_number_is_refused)
{
    EXPECT_TRUE(std::holds_alternative<refusal>(
        front_dialect::parse("GET", "/", {{"X-Deadline-Ms", "soon"}})));
}

TEST_F(front_dialect_test, statuses_that_promise_not_run_are_only_sent_if_so)
{
    for (auto const& row : name_table<refusal_kind>) {
        auto const form = front_dialect::encode_refusal(
            make(row.value, outcome::unknown), "r1");
        EXPECT_TRUE(form.status == 502 || form.status == 504) << row.name;
    }
    EXPECT_EQ(front_dialect::encode_refusal(
                  make(refusal_kind::overloaded, outcome::not_run), "r1")
                  .status,
        503);
    EXPECT_EQ(front_dialect::encode_refusal(
                  make(refusal_kind::rate_exceeded, outcome::not_run), "r1")
                  .status,
        429);
    EXPECT_EQ(front_dialect::encode_refusal(
                  make(refusal_kind::not_ready, outcome::not_run), "r1")
                  .status,
        503);
}

TEST_F(front_dialect_test, retry_after_has_fractions_of_a_second)
{
    auto const form = front_dialect::encode_refusal(
        make(refusal_kind::overloaded, outcome::not_run), "r1");
    EXPECT_EQ(header_of(form, "Retry-After"), "0.250");
    EXPECT_EQ(header_of(form, "X-Request-Id"), "r1");
    EXPECT_EQ(header_of(form, "X-Response-Signature"), "");
}

TEST_F(front_dialect_test, entry_question_names_the_callers_data_centre)
{
    auto const it = front_dialect::entry_question(
        "/resolve?name=a.example&region=r&zone=east%2D1");
    ASSERT_TRUE(it);
    EXPECT_EQ(it->text(), "east-1");
    EXPECT_FALSE(front_dialect::entry_question("/other"));
}

TEST_F(front_dialect_test, entry_body_has_addresses_and_seconds)
{
    EXPECT_EQ(front_dialect::encode_entry_answer(
                  {{"10.0.0.1:80"}, std::chrono::milliseconds(1500)}),
        R"({"addresses":["10.0.0.1:80"],"ttlS":1.5})");
}

class upstream_dialect_test : public testing::Test
{
protected:
    static upstream_answer answer(int status, std::vector<header_field> headers)
    {
        return {status, std::move(headers), "body"};
    }

    static attempt_result classify(
        int status, std::vector<header_field> headers)
    {
        return upstream_dialect::classify(answer(status, std::move(headers)));
    }

    header_field const id_{"X-Request-Id", "r1"};
    header_field const signature_{"X-Response-Signature", "s"};
};

TEST_F(upstream_dialect_test, own_headers_name_target_and_organisation)
{
    target_record target;
    target.id = target_id("t1");
    upstream_request request;
    request.request_id = "r1";
    request.time_limit = std::chrono::milliseconds(700);
    request.organisation = organisation_id("pub");
    EXPECT_EQ(upstream_dialect::added_headers(target, request),
        "X-Request-Id: r1\r\nX-Deadline-Ms: 700\r\n"
        "X-Target-Instance: t1\r\nX-Tenant: pub\r\n");
}

TEST_F(upstream_dialect_test, answer_with_another_id_does_not_belong)
{
    upstream_request request;
    request.request_id = "r1";
    EXPECT_TRUE(upstream_dialect::matches_request(answer(200, {id_}), request));
    EXPECT_FALSE(upstream_dialect::matches_request(
        answer(200, {{"X-Request-Id", "r2"}}), request));
}

TEST_F(upstream_dialect_test, success_without_signature_or_id_is_wrong)
{
    EXPECT_EQ(classify(200, {id_, signature_}), attempt_result::answered);
    EXPECT_EQ(classify(200, {id_}), attempt_result::wrong_answer);
    EXPECT_EQ(classify(200, {signature_}), attempt_result::wrong_answer);
    EXPECT_EQ(classify(200, {id_, signature_, {"Content-Encoding", "gzip"}}),
        attempt_result::wrong_answer);
}

TEST_F(upstream_dialect_test, only_the_targets_word_proves_not_run)
{
    header_field const not_run{"X-Not-Executed", "1"};
    EXPECT_EQ(classify(503, {id_, not_run}), attempt_result::shed);
    EXPECT_EQ(classify(421, {id_}), attempt_result::misdirected);
    for (int const status : {408, 429, 503})
        EXPECT_EQ(
            classify(status, {id_, signature_}), attempt_result::wrong_answer);
    EXPECT_EQ(classify(500, {id_, signature_}), attempt_result::server_error);
    EXPECT_EQ(classify(404, {id_, signature_}), attempt_result::answered);
}

} // namespace
} // namespace pomelohinge::platform
