#include "config/configuration_text.hpp"
#include "drivers/platform/http_object_store.hpp"
#include "platform/documents.hpp"
#include "platform/store.hpp"
#include "tests/platform/fixed_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

/// Deltas, truncated histories and configurations of other VMs with values that
/// are nested so deeply that a parser or destructor which recurses would end
/// the process.
class nested_history_test : public testing::Test
{
protected:
    static constexpr std::size_t depth = 400'000;

    static std::string nested()
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    targets_result watch_targets(int status, std::string const& body)
    {
        server_.set_answer(status, body);
        store targets(http_, server_.address());
        targets_result result;
        targets.watch_targets(50, std::chrono::seconds(1),
            [&](targets_result it) { result = std::move(it); });
        run();
        return result;
    }

    void run()
    {
        constexpr auto timeout = std::chrono::seconds(10);
        context_.restart();
        context_.run_for(timeout);
    }

    fixed_store server_;
    asio::io_context context_;
    curl_loop http_{context_};
};

TEST_F(nested_history_test, truncated_history_is_reported_as_gone)
{
    auto const result = watch_targets(410, R"({"error": )" + nested() + "}");
    EXPECT_EQ(result.status, store_status::history_gone);
}

TEST_F(nested_history_test, removal_of_nested_entry_removes_its_target)
{
    auto const result = watch_targets(200,
        R"({"events": [{"object": {"metadata": {"name": "i-1"}, "spec": )" +
            nested() + R"(}, "deleted": true}], "at": 51})");
    EXPECT_EQ(result.status, store_status::done);
    EXPECT_EQ(result.changes.removed, std::vector{target_id("i-1")});
}

TEST_F(nested_history_test, nested_events_change_nothing)
{
    auto const result = watch_targets(
        200, R"({"events": [)" + nested() + R"(], "at": )" + nested() + "}");
    EXPECT_TRUE(result.changes.put.empty());
    EXPECT_TRUE(result.changes.removed.empty());
}

TEST_F(nested_history_test, nested_changes_of_the_object_service_are_left_out)
{
    server_.set_answer(200,
        R"({"revision": 51, "changed": [)" + nested() +
            R"(, {"name": "vms/a", "version": 7}]})");
    http_object_store objects(http_, server_.address());
    watch_reply result;
    objects.watch("vms/", 50, std::chrono::seconds(1),
        [&](watch_reply it) { result = std::move(it); });
    run();
    EXPECT_EQ(result.status, store_status::done);
    ASSERT_EQ(result.changed.size(), 1U);
    EXPECT_EQ(result.changed.front().name, "vms/a");
}

TEST_F(nested_history_test, nested_configuration_of_a_peer_adds_a_finding)
{
    for (auto const& text : {nested(), R"({"hosts": )" + nested() + "}",
             R"({"format": 1, "services": )" + nested() + "}"}) {
        findings of_platform("peer");
        EXPECT_FALSE(decode_configuration(text, of_platform));
        EXPECT_FALSE(of_platform.empty());
        findings of_native("peer");
        EXPECT_FALSE(parse_configuration(text, of_native));
        EXPECT_FALSE(of_native.empty());
    }
}

} // namespace
} // namespace pomelohinge::platform
