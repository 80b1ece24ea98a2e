#include "drivers/platform/http_object_store.hpp"
#include "tests/drivers/copying_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// Calls to an object service that sends each answer twice on connections that
/// it keeps.
class object_store_copies_test : public testing::TestWithParam<copy_time>
{
protected:
    object_store_copies_test()
        : server_(GetParam(), &answer), http_(context_),
          store_(http_, server_.address())
    {
    }

    static std::string answer(std::string const& head)
    {
        auto const is = [&](char const* text) {
            return head.find(text) != std::string::npos;
        };
        if (is("DELETE ") || is("PUT /objects/second"))
            return copying_store::encode(409, "conflict");
        if (is("PUT "))
            return copying_store::encode(200, "ok", "Object-Version: 1\r\n");
        if (is("GET /objects/first"))
            return copying_store::encode(200, "first", "Object-Version: 1\r\n");
        if (is("GET /objects/second"))
            return copying_store::encode(
                200, "second", "Object-Version: 2\r\n");
        return copying_store::encode(404, "absent");
    }

    /// Runs a call that ends with `context_.stop()`, and stays idle after it.
    void run()
    {
        constexpr auto timeout = std::chrono::seconds(5);
        context_.restart();
        context_.run_for(timeout);
        std::this_thread::sleep_for(copying_store::idle_time);
    }

    get_reply get(std::string const& name)
    {
        get_reply reply;
        store_.get(name, [&](get_reply it) {
            reply = std::move(it);
            context_.stop();
        });
        run();
        return reply;
    }

    store_status put(std::string const& name)
    {
        auto status = store_status::unavailable;
        store_.put(name, "value", 0, [&](put_reply it) {
            status = it.status;
            context_.stop();
        });
        run();
        return status;
    }

    store_status remove(std::string const& name)
    {
        auto status = store_status::unavailable;
        store_.remove(name, 1, [&](put_reply it) {
            status = it.status;
            context_.stop();
        });
        run();
        return status;
    }

    asio::io_context context_;
    copying_store server_;
    curl_loop http_;
    http_object_store store_;
};

TEST_P(object_store_copies_test, copy_of_object_is_not_read_as_another_object)
{
    EXPECT_EQ(get("first").object.value, "first");
    EXPECT_EQ(get("second").object.value, "second");
}

TEST_P(object_store_copies_test, copy_of_missing_object_does_not_hide_another)
{
    EXPECT_EQ(get("absent").object.version, 0u);
    EXPECT_EQ(get("second").object.version, 2u);
}

TEST_P(object_store_copies_test, copy_of_write_does_not_confirm_a_removal)
{
    EXPECT_EQ(put("first"), store_status::done);
    EXPECT_EQ(remove("first"), store_status::conflict);
}

TEST_P(object_store_copies_test, copy_of_write_does_not_confirm_another_write)
{
    EXPECT_EQ(put("first"), store_status::done);
    EXPECT_EQ(put("second"), store_status::conflict);
}

INSTANTIATE_TEST_SUITE_P(copies, object_store_copies_test,
    testing::Values(copy_time::with_answer, copy_time::while_idle,
        copy_time::after_next_call),
    [](auto const& it) { return std::string(to_name(it.param)); });

} // namespace
} // namespace pomelohinge
