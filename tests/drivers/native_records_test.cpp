#include "drivers/platform/native_store.hpp"
#include "servers/requests/idempotency_guard.hpp"
#include "tests/drivers/copying_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// A VM that creates records in an object service.
class record_vm
{
public:
    record_vm(std::string const& address, std::uint64_t seed)
        : random(seed), http_(context_), records_(http_, address)
    {
    }

    // Interface for the guard; see `EntryEnvironment`.

    std::int64_t unix_now_ms() const { return 1'000'000; }
    record_vm& state() { return *this; }
    void create_record(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        records_.create(record, std::move(done));
    }
    void write_record(idempotency_record const& record)
    {
        records_.write(record);
    }
    void remove_record(idempotency_record const& record)
    {
        records_.remove(record);
    }

    /// Begins a request with the key of all requests of the test.
    record_outcome begin()
    {
        request_head head;
        head.idempotency_key = "order-1";
        auto outcome = record_outcome::unavailable;
        guard_.begin(*this, head, {}, 7, [&](record_outcome it) {
            outcome = it;
            context_.stop();
        });
        constexpr auto timeout = std::chrono::seconds(10);
        context_.run_for(timeout);
        return outcome;
    }

    std::mt19937_64 random;

private:
    asio::io_context context_;
    curl_loop http_;
    native_records records_;
    idempotency_guard<record_vm> guard_;
};

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
        it.write(answer_(it.read_call()));
        it.shut_down();
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

/// Both VMs took the record of one of them for their own, and the order ran
/// twice.
TEST_F(native_records_test, equal_requests_at_two_vms_create_one_record)
{
    std::string stored;
    answer_ = [&](std::string const& call) -> std::string {
        if (call.starts_with("GET"))
            return copying_store::encode(200, stored, "Object-Version: 1\r\n");
        if (stored.empty())
            stored = call.substr(call.find("\r\n\r\n") + 4);
        return {};
    };
    record_vm first(server_.address(), 1);
    record_vm second(server_.address(), 2);
    EXPECT_EQ(first.begin(), record_outcome::accepted);
    EXPECT_EQ(second.begin(), record_outcome::running);
}

} // namespace
} // namespace pomelohinge
