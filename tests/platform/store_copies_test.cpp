#include "platform/store.hpp"
#include "tests/drivers/copying_store.hpp"

#include <atomic>
#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

/// Calls to a store that sends each answer twice on connections that it keeps.
class store_copies_test : public testing::TestWithParam<copy_time>
{
protected:
    store_copies_test()
        : server_(
              GetParam(), [this](auto const& head) { return answer(head); }),
          http_(context_), store_(http_, server_.address()),
          records_(http_, server_.address())
    {
    }

    std::string answer(std::string const& head)
    {
        auto const is = [&](char const* text) {
            return head.find(text) != std::string::npos;
        };
        ++calls_;
        if (is("DELETE "))
            return copying_store::encode(503, "{}");
        if (is("POST /objects/idempotency-records"))
            return copying_store::encode(calls_ == 1 ? 409 : 201,
                R"({"metadata": {"name": "r", "rev": 41}, "spec": {
                "print": "7", "state": "done", "ends_at_ms": 5, "status": 200,
                "content_type": "a/b", "body": ""}})");
        if (is("POST "))
            return copying_store::encode(
                201, R"({"metadata": {"name": "vm-1", "rev": 41}})");
        if (is("GET /objects/entry-vms"))
            return list("");
        if (is("GET /objects/evacuations"))
            return list(R"({"metadata": {"name": "east", "rev": 40}})");
        if (is("GET /objects/config"))
            return list(R"({"metadata": {"name": "main", "rev": 40},
                "spec": {"version": )" +
                std::to_string(calls_) + "}}");
        if (is("watch=50"))
            return copying_store::encode(200,
                R"({"events": [], "at": )" + std::to_string(50 + calls_) + "}");
        return copying_store::encode(400, "{}");
    }

    static std::string list(std::string const& items)
    {
        return copying_store::encode(200,
            R"({"items": [)" + items + R"(], "hasMore": false, "at": 50})");
    }

    /// Runs a call that ends with `context_.stop()`, and stays idle after it.
    void run()
    {
        constexpr auto timeout = std::chrono::seconds(5);
        context_.restart();
        context_.run_for(timeout);
        std::this_thread::sleep_for(copying_store::idle_time);
    }

    std::uint64_t read_version()
    {
        std::uint64_t version = 0;
        store_.read_configuration([&](configuration_result it) {
            version = it.document.version;
            context_.stop();
        });
        run();
        return version;
    }

    record_outcome create(std::string const& key)
    {
        auto outcome = record_outcome::unavailable;
        idempotency_record record;
        record.idempotency_key = key;
        records_.create(
            record, [&](record_outcome it, idempotency_record const&) {
                outcome = it;
                context_.stop();
            });
        run();
        return outcome;
    }

    std::atomic<int> calls_ = 0;
    asio::io_context context_;
    copying_store server_;
    curl_loop http_;
    store store_;
    records records_;
};

TEST_P(store_copies_test, copy_of_empty_list_is_not_the_list_of_another_kind)
{
    store_.list_vms([&](vms_result const&) { context_.stop(); });
    run();
    closures_result closures;
    store_.list_closures([&](closures_result it) {
        closures = std::move(it);
        context_.stop();
    });
    run();
    EXPECT_EQ(closures.status, store_status::done);
    EXPECT_EQ(closures.closures.closed, std::vector{data_centre_id("east")});
}

TEST_P(store_copies_test, copy_of_configuration_does_not_hide_a_later_one)
{
    EXPECT_EQ(read_version(), 1u);
    EXPECT_EQ(read_version(), 2u);
}

TEST_P(store_copies_test, copy_of_watch_does_not_answer_the_next_watch)
{
    std::uint64_t revision = 0;
    for (auto n = 1u; n < 3; ++n) {
        store_.watch_targets(
            50, std::chrono::seconds(1), [&](targets_result const& it) {
                revision = it.changes.revision;
                context_.stop();
            });
        run();
        EXPECT_EQ(revision, 50 + n);
    }
}

TEST_P(store_copies_test, copy_of_registration_does_not_confirm_a_removal)
{
    vm_record vm;
    vm.vm = vm_id("vm-1");
    store_.register_vm(vm, [&](store_status) { context_.stop(); });
    run();
    auto removed = store_status::done;
    store_.remove_vm(vm.vm, [&](store_status it) {
        removed = it;
        context_.stop();
    });
    run();
    EXPECT_EQ(removed, store_status::unavailable);
}

TEST_P(store_copies_test, copy_of_conflict_does_not_refuse_another_record)
{
    EXPECT_NE(create("order-1"), record_outcome::accepted);
    EXPECT_EQ(create("order-2"), record_outcome::accepted);
}

INSTANTIATE_TEST_SUITE_P(copies, store_copies_test,
    testing::Values(copy_time::with_answer, copy_time::while_idle,
        copy_time::after_next_call),
    [](auto const& it) { return std::string(to_name(it.param)); });

} // namespace
} // namespace pomelohinge::platform
