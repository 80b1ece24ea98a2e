#include "config/settings.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class settings_test : public testing::Test
{
protected:
    findings found_{"settings"};
};

TEST_F(settings_test, parse_of_valid_settings_returns_values)
{
    auto const it = parse_settings(R"({ // a VM
        "vm": "vm-1", "data_centre": "derby",
        "callers_address": "127.0.0.1:8080",
        "peers_address": "127.0.0.1:8081",
        "operators_address": "127.0.0.1:8082",
        "platform_address": "127.0.0.1:9000",
        "traffic_threads": 3,
        "log": {"format": "json"},
        "machine": {"cores": 2, "core_share": 0.2, "memory_mb": 260},
        "bounds": {"strict_revocation": false, "retry_ratio": 0.5},
        "exchange": {"remote_bytes_per_s": 8000},
        "transfer": {"price_per_mb": 40, "period_ms": 250},
        "limits": {"request_body_bytes": 4096, "stop_s": 1.5}})",
        found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->vm.text(), "vm-1");
    EXPECT_EQ(it->traffic_threads, 3);
    EXPECT_EQ(it->logs.format, log_format::json);
    EXPECT_EQ(it->request_body_bytes, 4096);
    EXPECT_DOUBLE_EQ(it->cores, 0.4);
    EXPECT_EQ(it->buffer_bytes, 65'000'000);
    EXPECT_EQ(it->bounds.max_revocation_delay, duration::zero());
    EXPECT_DOUBLE_EQ(it->bounds.retry_ratio, 0.5);
    EXPECT_EQ(it->stop_timeout, std::chrono::milliseconds(1500));
    EXPECT_FALSE(it->rollouts);
    EXPECT_EQ(it->remote_bytes_per_second, 8000);
    EXPECT_EQ(
        it->transfers, (transfer_settings{40, std::chrono::milliseconds(250)}));
}

TEST_F(settings_test, rollouts_are_read_with_their_bounds)
{
    auto const text = [](char const* rollouts) {
        return std::string(R"({"vm": "vm-1", "data_centre": "derby",
            "callers_address": "127.0.0.1:8080",
            "peers_address": "127.0.0.1:8081",
            "platform_address": "127.0.0.1:9000", "rollouts": )") +
            rollouts + "}";
    };
    auto const whole =
        parse_settings(text(R"({"exposure_share": 0.2, "exposure_extra": 7,
            "rollback_s": 4})"),
            found_);
    ASSERT_TRUE(whole) << found_.to_text();
    ASSERT_TRUE(whole->rollouts);
    EXPECT_DOUBLE_EQ(whole->rollouts->exposure_share, 0.2);
    EXPECT_DOUBLE_EQ(whole->rollouts->exposure_extra, 7);
    EXPECT_EQ(whole->rollouts->rollback, std::chrono::seconds(4));
    auto const empty = parse_settings(text("{}"), found_);
    ASSERT_TRUE(empty && empty->rollouts);
    EXPECT_DOUBLE_EQ(empty->rollouts->exposure_share, 0.1);
    // Less than the fleet needs is not promised.
    auto const short_one = parse_settings(text(R"({"rollback_s": 1})"), found_);
    ASSERT_TRUE(short_one && short_one->rollouts);
    EXPECT_EQ(short_one->rollouts->rollback, std::chrono::seconds(4));
    EXPECT_EQ(short_one->adjustments.size(), 1u);
    EXPECT_FALSE(parse_settings(text(R"({"share": 1})"), found_));
}

TEST_F(settings_test, parse_of_placement_mode_returns_it_and_earliest_if_absent)
{
    std::string const machine = R"("vm": "vm-1", "data_centre": "derby",
        "callers_address": "127.0.0.1:8080",
        "peers_address": "127.0.0.1:8081",
        "platform_address": "127.0.0.1:9000")";
    auto const absent = parse_settings("{" + machine + "}", found_);
    auto const present = parse_settings(
        "{" + machine + R"(, "placement": {"mode": "by_deadline"}})", found_);
    ASSERT_TRUE(absent && present) << found_.to_text();
    EXPECT_EQ(absent->placement.mode, placement_mode::earliest);
    EXPECT_EQ(present->placement.mode, placement_mode::by_deadline);
    EXPECT_FALSE(parse_settings(
        "{" + machine + R"(, "placement": {"mode": "other"}})", found_));
}

TEST_F(
    settings_test, parse_with_several_errors_reports_all_with_their_positions)
{
    EXPECT_FALSE(parse_settings("{\"vm\": 7,\n"
                                "\"data_centre\": \"derby\",\n"
                                "\"callers_address\": \"localhost:1\",\n"
                                "\"peers_address\": \"127.0.0.1:8081\",\n"
                                "\"operators_address\": \"127.0.0.1:8082\",\n"
                                "\"traffic_threads\": 0,\n"
                                "\"log\": {\"level\": \"loud\"},\n"
                                "\"colour\": 1}",
        found_));
    auto const text = found_.to_text();
    EXPECT_NE(text.find("settings:1:8: /vm: a string"), std::string::npos);
    EXPECT_NE(text.find(":3:"), std::string::npos);
    EXPECT_NE(text.find("\"platform_address\" is missing"), std::string::npos);
    EXPECT_NE(text.find("0 is not between 1 and"), std::string::npos);
    EXPECT_NE(text.find("\"loud\" is not one of"), std::string::npos);
    EXPECT_NE(text.find(":8:11: /colour: unknown field"), std::string::npos)
        << text;
}

/// A budget below what the headers take would keep hubs from sending anything
/// that can wait.
TEST_F(settings_test, budget_and_price_out_of_range_are_adjusted)
{
    auto const it = parse_settings(R"({"vm": "vm-1", "data_centre": "derby",
        "callers_address": "127.0.0.1:8080",
        "peers_address": "127.0.0.1:8081",
        "platform_address": "127.0.0.1:9000",
        "exchange": {"remote_bytes_per_s": 10},
        "transfer": {"price_per_mb": -3}})",
        found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->remote_bytes_per_second, 1000);
    EXPECT_EQ(it->transfers->price_per_mb, 0);
    EXPECT_EQ(it->adjustments.size(), 2u);
}

TEST_F(settings_test, absent_exchange_and_transfer_change_nothing)
{
    auto const it = parse_settings(R"({"vm": "vm-1", "data_centre": "derby",
        "callers_address": "127.0.0.1:8080",
        "peers_address": "127.0.0.1:8081",
        "platform_address": "127.0.0.1:9000"})",
        found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->remote_bytes_per_second, 0);
    EXPECT_FALSE(it->transfers);
}

} // namespace
} // namespace pomelohinge
