#include "drivers/platform/native_store.hpp"
#include "tests/drivers/copying_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// Idempotency records in an object service that answers as the test says.
class native_records_test : public testing::Test
{
protected:
    record_outcome create(idempotency_record const& record)
    {
        asio::io_context context;
        curl_loop http(context);
        native_records records(http, server_.address());
        auto outcome = record_outcome::accepted;
        records.create(
            record, [&](record_outcome it, idempotency_record const&) {
                outcome = it;
                context.stop();
            });
        constexpr auto timeout = std::chrono::seconds(10);
        context.run_for(timeout);
        return outcome;
    }

    std::function<std::string(std::string const& head)> answer_;
    scripted_target server_{[this](target_connection& it) {
        it.write(answer_(it.read_head()));
    }};
};

/// A record that exists was taken for none, and its request for not run.
TEST_F(native_records_test, record_that_cannot_be_read_is_unknown)
{
    answer_ = [](std::string const& head) {
        return head.starts_with("GET")
            ? copying_store::encode(200, "{}", "Object-Version: 1\r\n")
            : copying_store::encode(409, "conflict");
    };
    EXPECT_EQ(create({}), record_outcome::unknown);
}

TEST_F(native_records_test, record_that_vanishes_is_unavailable)
{
    answer_ = [](std::string const& head) {
        return head.starts_with("GET") ? copying_store::encode(404, "absent")
                                       : copying_store::encode(409, "conflict");
    };
    EXPECT_EQ(create({}), record_outcome::unavailable);
}

} // namespace
} // namespace pomelohinge
