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
                    "repeat": "non_idempotent", "deadline_ms": 500}},
            "corrections": {"bokking": {"service": "booking"}},
            "organisations": {"pub": {}},
            "rates": {"pub": {"requests_per_second": 1, "burst": 1}},
            "keys": {"k": {"organisation": "pub", "sha256":
"0000000000000000000000000000000000000000000000000000000000000000"}}})",
            found);
        return it.value_or(configuration());
    }

    admission admit(std::string target, http_method method = http_method::get,
        bool keyed = true)
    {
        request_head head;
        head.method = method;
        head.target = std::move(target);
        if (keyed)
            head.key = key_hash{};
        head.deadline = deadline_;
        return router_.admit(head);
    }

    static refusal_kind refused(admission const& it)
    {
        auto const* const found = std::get_if<refusal>(&it);
        EXPECT_NE(found, nullptr);
        EXPECT_EQ(found->result, outcome::not_run);
        return found->kind;
    }

    router router_;
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

TEST_F(router_test, admit_of_corrected_name_goes_to_the_right_service)
{
    auto const it = admit("/bokking/times");
    ASSERT_TRUE(std::holds_alternative<admitted_request>(it));
    EXPECT_EQ(std::get<admitted_request>(it).service.text(), "booking");
}

TEST_F(router_test, admit_of_unknown_service_names_the_closest)
{
    auto const it = admit("/boking/times");
    EXPECT_EQ(refused(it), refusal_kind::unknown_service);
    EXPECT_NE(
        std::get<refusal>(it).detail.find("\"booking\""), std::string::npos);
}

TEST_F(router_test, admit_without_key_is_refused_but_on_open_routes)
{
    EXPECT_EQ(refused(admit("/booking/times", http_method::get, false)),
        refusal_kind::key_missing);
    EXPECT_TRUE(std::holds_alternative<admitted_request>(
        admit("/booking/public/a", http_method::get, false)));
    EXPECT_EQ(refused(admit("/booking/publicity", http_method::get, false)),
        refusal_kind::key_missing);
}

TEST_F(router_test, admit_with_wrong_method_is_refused_as_such)
{
    EXPECT_EQ(refused(admit("/booking/times", http_method::post)),
        refusal_kind::method_not_allowed);
}

TEST_F(router_test, admit_with_passed_deadline_is_refused)
{
    deadline_ = std::chrono::milliseconds(0);
    EXPECT_EQ(refused(admit("/booking/times")), refusal_kind::deadline_passed);
}

TEST_F(router_test, admit_takes_the_shorter_deadline_and_the_routes_repeat)
{
    deadline_ = std::chrono::milliseconds(9000);
    auto const it = admit("/counter/sale", http_method::put);
    ASSERT_TRUE(std::holds_alternative<admitted_request>(it));
    auto const& request = std::get<admitted_request>(it);
    EXPECT_EQ(request.deadline, std::chrono::milliseconds(500));
    EXPECT_FALSE(request.idempotent);
}

TEST_F(router_test, edit_distance_counts_a_swap_once)
{
    EXPECT_EQ(edit_distance("booking", "bookign"), 1u);
    EXPECT_EQ(edit_distance("booking", "booking"), 0u);
    EXPECT_EQ(edit_distance("", "abc"), 3u);
}

} // namespace
} // namespace pomelohinge
