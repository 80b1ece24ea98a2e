#include "drivers/platform/http_object_store.hpp"
#include "platform/object_client.hpp"
#include "tests/platform/fixed_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

/// Watches with a wait that is no whole number of milliseconds. A reader waits
/// until its next list is due; an answer that comes a part of a millisecond
/// before costs it another watch, which ends at once.
class watch_wait_test : public testing::Test
{
protected:
    watch_wait_test() { server_.set_answer(503, "absent"); }

    static constexpr duration wait = std::chrono::microseconds(399'700);

    fixed_store server_;
    asio::io_context context_;
    curl_loop http_{context_};
};

TEST_F(watch_wait_test, wait_at_the_object_service_is_rounded_up)
{
    http_object_store store(http_, server_.address());
    store.watch(
        "vms/", 7, wait, [this](watch_reply const&) { context_.stop(); });
    context_.run_for(std::chrono::seconds(5));
    EXPECT_NE(server_.head().find("wait_ms=400 "), std::string::npos)
        << server_.head();
}

TEST_F(watch_wait_test, wait_at_the_platform_is_rounded_up)
{
    object_client store(http_, server_.address());
    store.watch(
        "servers", 7, wait, [this](object_events const&) { context_.stop(); });
    context_.run_for(std::chrono::seconds(5));
    EXPECT_NE(server_.head().find("waitMs=400 "), std::string::npos)
        << server_.head();
}

TEST_F(watch_wait_test, whole_milliseconds_and_no_wait_are_kept)
{
    EXPECT_EQ(to_milliseconds_rounded_up(std::chrono::milliseconds(400)), 400);
    EXPECT_EQ(to_milliseconds_rounded_up(duration::zero()), 0);
}

} // namespace
} // namespace pomelohinge::platform
