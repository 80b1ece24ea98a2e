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
        records_.create(record,
            [this, done = std::move(done)](
                record_outcome it, idempotency_record found) {
                version_ = found.version;
                done(it, std::move(found));
            });
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

    /// Ends the request, which has not run.
    void end_without_run()
    {
        guard_.finish(*this, record_state::started, {});
        constexpr auto timeout = std::chrono::seconds(10);
        context_.restart();
        context_.run_for(timeout);
    }

    /// The version of the record that was created.
    std::uint64_t version() const { return version_; }

    std::mt19937_64 random;

private:
    asio::io_context context_;
    curl_loop http_;
    native_records records_;
    std::uint64_t version_ = 0;
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

TEST_F(native_records_test, removal_names_the_version_that_the_store_gave)
{
    std::atomic<bool> is_removed = false;
    answer_ = [&](std::string const& call) {
        if (call.starts_with("DELETE"))
            is_removed = call.find("Object-Expected-Version: 41\r\n") !=
                std::string::npos;
        return copying_store::encode(200, "ok", "Object-Version: 41\r\n");
    };
    record_vm vm(server_.address(), 1);
    EXPECT_EQ(vm.begin(), record_outcome::accepted);
    vm.end_without_run();
    EXPECT_TRUE(is_removed);
}

TEST_F(native_records_test, record_created_without_version_is_read_back)
{
    std::string stored;
    answer_ = [&](std::string const& call) {
        if (call.starts_with("GET"))
            return copying_store::encode(200, stored, "Object-Version: 41\r\n");
        stored = call.substr(call.find("\r\n\r\n") + 4);
        return copying_store::encode(200, "ok");
    };
    record_vm vm(server_.address(), 1);
    EXPECT_EQ(vm.begin(), record_outcome::accepted);
    EXPECT_EQ(vm.version(), 41u);
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
