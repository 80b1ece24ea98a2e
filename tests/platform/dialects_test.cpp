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
        refusal_response const& response, std::string_view name)
    {
        for (auto const& it : response.headers)
            if (it.name == name)
                return it.value;
        return {};
    }
};

TEST_F(front_dialect_test, parse_of_request_removes_key_and_forged_headers)
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

TEST_F(front_dialect_test, parse_of_non_numeric_deadline_is_refused)
{
    EXPECT_TRUE(std::holds_alternative<refusal>(
        front_dialect::parse("GET", "/", {{"X-Deadline-Ms", "soon"}})));
}

TEST_F(front_dialect_test,
    statuses_that_mean_not_run_are_only_used_for_that_outcome)
{
    for (auto const& row : name_table<refusal_kind>) {
        auto const response = front_dialect::encode_refusal(
            make(row.value, outcome::unknown), "r1");
        EXPECT_TRUE(response.status == 502 || response.status == 504)
            << row.name;
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
    auto const response = front_dialect::encode_refusal(
        make(refusal_kind::overloaded, outcome::not_run), "r1");
    EXPECT_EQ(header_of(response, "Retry-After"), "0.250");
    EXPECT_EQ(header_of(response, "X-Request-Id"), "r1");
    EXPECT_EQ(header_of(response, "X-Response-Signature"), "");
}

TEST_F(front_dialect_test, entry_question_with_zone_names_the_data_centre)
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

    std::optional<duration> pause(int status, std::string seconds) const
    {
        return upstream_dialect::read_notice(
            answer(status, {id_, {"Retry-After", std::move(seconds)}}))
            .pause;
    }

    header_field const id_{"X-Request-Id", "r1"};
    header_field const signature_{"X-Response-Signature", "s"};
    header_field const not_run_{"X-Not-Executed", "1"};
};

TEST_F(upstream_dialect_test, added_headers_name_target_and_organisation)
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

TEST_F(upstream_dialect_test, answer_names_the_request_whose_id_it_has)
{
    header_field const other{"x-request-id", "r2"};
    EXPECT_EQ(upstream_dialect::named_request(answer(200, {id_})), "r1");
    EXPECT_EQ(upstream_dialect::named_request(answer(503, {other})), "r2");
    EXPECT_EQ(upstream_dialect::named_request(answer(421, {})), "");
}

TEST_F(upstream_dialect_test, answer_with_two_ids_names_neither_request)
{
    header_field const other{"x-request-id", "r2"};
    auto const named =
        upstream_dialect::named_request(answer(503, {id_, other}));
    EXPECT_NE(named, "");
    EXPECT_NE(named, "r1");
    EXPECT_NE(named, "r2");
    EXPECT_NE(named, "r1, r2");
}

TEST_F(upstream_dialect_test, notice_of_leaving_is_read_from_any_answer)
{
    header_field const leaves{"Server-Leaving", "1"};
    for (int const status : {200, 404, 500, 503})
        EXPECT_TRUE(upstream_dialect::read_notice(answer(status, {id_, leaves}))
                        .leaving);
    EXPECT_TRUE(upstream_dialect::read_notice(answer(200, {id_})).empty());
}

TEST_F(upstream_dialect_test, pause_is_read_from_a_503_with_seconds)
{
    EXPECT_EQ(pause(503, "2"), std::chrono::seconds(2));
    EXPECT_EQ(pause(503, "0.25"), std::chrono::milliseconds(250));
    EXPECT_EQ(pause(500, "2"), std::nullopt);
    EXPECT_EQ(pause(200, "2"), std::nullopt);
}

TEST_F(upstream_dialect_test, unreadable_pause_is_bounded_and_reported)
{
    for (auto const* it : {"-1", "soon", "nan", "1e400", "9999999999",
             "Sat, 05 Dec 2026 04:00:00 GMT"}) {
        auto const notice = upstream_dialect::read_notice(
            answer(503, {id_, {"Retry-After", it}}));
        EXPECT_TRUE(notice.unreadable) << it;
        EXPECT_LE(notice.pause.value_or(duration::zero()),
            target_notice::default_pause)
            << it;
    }
}

TEST_F(upstream_dialect_test, success_without_signature_or_id_is_a_wrong_answer)
{
    EXPECT_EQ(classify(200, {id_, signature_}), attempt_result::answered);
    EXPECT_EQ(classify(200, {id_}), attempt_result::wrong_answer);
    EXPECT_EQ(classify(200, {signature_}), attempt_result::wrong_answer);
    EXPECT_EQ(classify(200, {id_, signature_, {"Content-Encoding", "gzip"}}),
        attempt_result::wrong_answer);
}

TEST_F(upstream_dialect_test, not_run_status_without_header_is_a_wrong_answer)
{
    EXPECT_EQ(classify(503, {id_, not_run_}), attempt_result::shed);
    EXPECT_EQ(classify(421, {id_}), attempt_result::misdirected);
    for (int const status : {408, 429, 503})
        EXPECT_EQ(
            classify(status, {id_, signature_}), attempt_result::wrong_answer);
    EXPECT_EQ(classify(500, {id_, signature_}), attempt_result::server_error);
    EXPECT_EQ(classify(404, {id_, signature_}), attempt_result::answered);
}

/// A target's own 500, and its 504 at the deadline, count as run.
TEST_F(
    upstream_dialect_test, mark_with_a_status_that_contradicts_it_is_no_proof)
{
    for (int const status : {400, 429, 503})
        EXPECT_EQ(classify(status, {id_, not_run_}), attempt_result::shed)
            << status;
    EXPECT_EQ(classify(421, {id_, not_run_}), attempt_result::misdirected);
    for (int const status : {200, 204, 302, 404, 408, 500, 502, 504})
        EXPECT_EQ(classify(status, {id_, signature_, not_run_}),
            attempt_result::wrong_answer)
            << status;
}

TEST_F(upstream_dialect_test, mark_that_stands_twice_differently_is_no_proof)
{
    header_field const other_mark{"x-not-executed", "0"};
    for (int const status : {200, 400, 421, 429, 503}) {
        EXPECT_EQ(classify(status, {id_, signature_, not_run_, other_mark}),
            attempt_result::wrong_answer)
            << status;
    }
    EXPECT_EQ(
        classify(503, {id_, id_, not_run_, not_run_}), attempt_result::shed);
}

} // namespace
} // namespace pomelohinge::platform
