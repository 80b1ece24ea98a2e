#include "config/configuration_text.hpp"
#include "servers/routing/router.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class router_test : public testing::Test
{
protected:
    router_test() : router_(make_configuration()) {}

    static configuration make_configuration()
    {
        findings found("text");
        auto const it = parse_configuration(R"({"format": 1,
            "services": {"booking": {}, "counter": {}},
            "routes": {
                "all": {"service": "booking", "path_prefix": "/",
                    "methods": ["GET"]},
                "public": {"service": "booking", "path_prefix": "/public",
                    "methods": ["GET"], "access": "open"},
                "pay": {"service": "counter", "methods": ["POST", "PUT"],
                    "repeat": "non_idempotent", "deadline_ms": 500},
                "shop": {"service": "booking", "host": "shop.example",
                    "path_prefix": "/a/", "attempts": 2, "priority": 5},
                "shop-deep": {"split": ["booking:90", "counter:10"],
                    "host": "shop.example", "path_prefix": "/a/b/",
                    "goal_ms": 300}},
            "corrections": {"bokking": {"service": "booking"}},
            "organisations": {"pub": {"priority": 3}},
            "rates": {"pub": {"requests_per_second": 1, "burst": 1}},
            "keys": {"k": {"organisation": "pub", "sha256":
"0000000000000000000000000000000000000000000000000000000000000000"}}})",
            found);
        return it.value_or(configuration());
    }

    admission admit(
        std::string target, std::string method = "GET", bool has_key = true)
    {
        request_head head;
        head.method = std::move(method);
        head.host = host_;
        head.target = std::move(target);
        if (has_key)
            head.key = key_hash{};
        head.deadline = deadline_;
        return router_.admit(head, draw_);
    }

    static refusal_kind refusal_of(admission const& it)
    {
        auto const* const found = std::get_if<refusal>(&it);
        EXPECT_NE(found, nullptr);
        EXPECT_EQ(found->result, outcome::not_run);
        return found->kind;
    }

    router router_;
    std::string host_;
    split_draw draw_ = 0;
    std::optional<std::chrono::milliseconds> deadline_;
};

TEST_F(router_test, admit_with_key_and_route_strips_the_service)
{
    auto const it = admit("/booking/times?day=1");
    auto const* const request = std::get_if<admitted_request>(&it);
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(request->path, "/times?day=1");
    EXPECT_EQ(request->organisation.text(), "pub");
    EXPECT_TRUE(request->idempotent);
}

TEST_F(router_test, admit_of_misspelled_name_selects_the_corrected_service)
{
    auto const it = admit("/bokking/times");
    ASSERT_TRUE(std::holds_alternative<admitted_request>(it));
    EXPECT_EQ(std::get<admitted_request>(it).service.text(), "booking");
}

TEST_F(router_test, admit_of_unknown_service_names_the_closest)
{
    auto const it = admit("/boking/times");
    EXPECT_EQ(refusal_of(it), refusal_kind::unknown_service);
    EXPECT_NE(
        std::get<refusal>(it).detail.find("\"booking\""), std::string::npos);
}

TEST_F(router_test, admit_without_key_is_refused_except_on_open_routes)
{
    EXPECT_EQ(refusal_of(admit("/booking/times", "GET", false)),
        refusal_kind::key_missing);
    EXPECT_TRUE(std::holds_alternative<admitted_request>(
        admit("/booking/public/a", "GET", false)));
    EXPECT_EQ(refusal_of(admit("/booking/publicity", "GET", false)),
        refusal_kind::key_missing);
}

TEST_F(router_test, admit_with_wrong_method_is_refused_as_method_not_allowed)
{
    EXPECT_EQ(refusal_of(admit("/booking/times", "POST")),
        refusal_kind::method_not_allowed);
}

TEST_F(router_test, admit_with_passed_deadline_is_refused)
{
    deadline_ = std::chrono::milliseconds(0);
    EXPECT_EQ(
        refusal_of(admit("/booking/times")), refusal_kind::deadline_passed);
}

TEST_F(router_test,
    admit_uses_the_shorter_deadline_and_the_idempotency_of_the_route)
{
    deadline_ = std::chrono::milliseconds(9000);
    auto const it = admit("/counter/sale", "PUT");
    ASSERT_TRUE(std::holds_alternative<admitted_request>(it));
    auto const& request = std::get<admitted_request>(it);
    EXPECT_EQ(request.time_limit, std::chrono::milliseconds(500));
    EXPECT_FALSE(request.idempotent);
}

TEST_F(router_test, admit_by_host_uses_the_longest_prefix_and_keeps_the_path)
{
    host_ = "shop.example";
    auto const it = admit("/a/x?q=1");
    ASSERT_TRUE(std::holds_alternative<admitted_request>(it));
    auto const& request = std::get<admitted_request>(it);
    EXPECT_EQ(request.path, "/a/x?q=1");
    EXPECT_EQ(request.route.text(), "shop");
    EXPECT_EQ(request.attempts, 2u);
    auto const deep = admit("/a/b/");
    ASSERT_TRUE(std::holds_alternative<admitted_request>(deep));
    EXPECT_EQ(std::get<admitted_request>(deep).route.text(), "shop-deep");
    EXPECT_EQ(std::get<admitted_request>(deep).goal,
        duration(std::chrono::milliseconds(300)));
}

TEST_F(router_test, admit_by_host_without_route_is_refused_before_the_key)
{
    host_ = "shop.example";
    EXPECT_EQ(refusal_of(admit("/b/", "GET", false)), refusal_kind::no_route);
    EXPECT_EQ(refusal_of(admit("/a", "GET")), refusal_kind::no_route);
    EXPECT_EQ(
        refusal_of(admit("/a/", "GET", false)), refusal_kind::key_missing);
}

TEST_F(router_test, admit_on_a_split_follows_the_weights)
{
    host_ = "shop.example";
    constexpr int draws = 1000;
    int counter = 0;
    for (int it = 0; it < draws; ++it) {
        draw_ = static_cast<double>(it) / draws;
        auto const admitted = admit("/a/b/c");
        ASSERT_TRUE(std::holds_alternative<admitted_request>(admitted));
        counter +=
            std::get<admitted_request>(admitted).service.text() == "counter";
    }
    EXPECT_EQ(counter, draws / 10);
}

TEST_F(router_test, admit_with_two_priorities_uses_the_one_of_the_organisation)
{
    host_ = "shop.example";
    auto const it = admit("/a/");
    ASSERT_TRUE(std::holds_alternative<admitted_request>(it));
    EXPECT_EQ(std::get<admitted_request>(it).priority, 3);
}

TEST_F(router_test, edit_distance_of_transposed_characters_is_one)
{
    EXPECT_EQ(edit_distance("booking", "bookign"), 1u);
    EXPECT_EQ(edit_distance("booking", "booking"), 0u);
    EXPECT_EQ(edit_distance("", "abc"), 3u);
}

} // namespace
} // namespace pomelohinge
