#include "platform/store.hpp"

#include "tests/platform/fixed_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

/// Calls to the store whose answers hold one entry that can't be decoded,
/// beside sound ones.
class store_test : public testing::Test
{
protected:
    static constexpr std::size_t depth = 400'000;

    store_test()
        : http_(context_), store_(http_, server_.address()),
          records_(http_, server_.address())
    {
    }

    static std::string nested()
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    /// The entry of a target. `service` is JSON text.
    static std::string target(
        std::string const& name, std::string const& service = "\"s1\"")
    {
        return R"({"metadata": {"name": ")" + name +
            R"(", "rev": 42}, "spec": {"address": "10.0.0.9:80", "born": 17,
            "info": {"service": )" +
            service + R"(, "version": "v1", "zone": "east", "slots": 6}},
            "status": {"state": "ready", "seq": 4}})";
    }

    static std::string list(std::string const& items)
    {
        return R"({"items": [)" + items + R"(], "hasMore": false, "at": 50})";
    }

    /// Runs the calls that were started until they have ended.
    void run()
    {
        constexpr auto timeout = std::chrono::seconds(10);
        context_.restart();
        context_.run_for(timeout);
    }

    static std::vector<std::string> ids_of(target_changes const& changes)
    {
        std::vector<std::string> ids;
        for (auto const& it : changes.put)
            ids.push_back(it.id.text());
        return ids;
    }

    asio::io_context context_;
    fixed_store server_;
    curl_loop http_;
    store store_;
    records records_;
};

/// The pages of a list that never ended were kept until the memory was used up.
TEST_F(store_test, list_whose_page_repeats_ends_as_unavailable)
{
    int pages = 0;
    server_.set_answers([&] {
        ++pages;
        return R"({"items": [)" + target("i-1") +
            R"(], "hasMore": true, "at": 50})";
    });
    auto status = store_status::done;
    bool ended = false;
    store_.list_targets([&](targets_result it) {
        status = it.status;
        ended = true;
        context_.stop();
    });
    run();
    EXPECT_TRUE(ended);
    EXPECT_EQ(status, store_status::unavailable);
    EXPECT_EQ(pages, 2);
}

TEST_F(store_test, list_without_end_ends_as_unavailable)
{
    int pages = 0;
    server_.set_answers([&] {
        constexpr std::size_t page_bytes = 4 << 20;
        return R"({"items": [)" + target("i-" + std::to_string(++pages)) +
            R"(], "hasMore": true, "at": 50, "rest": ")" +
            std::string(page_bytes, 'x') + "\"}";
    });
    bool ended = false;
    store_.list_targets([&](targets_result it) {
        EXPECT_EQ(it.status, store_status::unavailable);
        ended = true;
        context_.stop();
    });
    run();
    EXPECT_TRUE(ended);
    EXPECT_EQ(pages, 16);
}

/// Guards against a process that ends because one entry is nested so deeply
/// that a recursive operation on it uses up the stack.
TEST_F(store_test, list_with_deeply_nested_entry_keeps_the_others)
{
    server_.set_answer(200,
        list(target("i-1") + "," + target("i-odd", nested()) + "," +
            target("i-2")));
    targets_result result;
    store_.list_targets([&](targets_result it) { result = std::move(it); });
    run();
    EXPECT_EQ(result.status, store_status::done);
    EXPECT_EQ(ids_of(result.changes), (std::vector<std::string>{"i-1", "i-2"}));
    EXPECT_EQ(result.changes.removed, std::vector{target_id("i-odd")});
}

TEST_F(store_test, watch_with_deeply_nested_entry_keeps_the_others)
{
    server_.set_answer(200,
        R"({"events": [{"object": )" + target("i-odd", nested()) +
            R"(, "deleted": false}, {"object": )" + target("i-1") +
            R"(, "deleted": false}], "at": 51})");
    targets_result result;
    store_.watch_targets(50, std::chrono::seconds(1),
        [&](targets_result it) { result = std::move(it); });
    run();
    EXPECT_EQ(result.status, store_status::done);
    EXPECT_EQ(ids_of(result.changes), std::vector<std::string>{"i-1"});
    EXPECT_EQ(result.changes.removed, std::vector{target_id("i-odd")});
}

TEST_F(store_test, target_with_nested_field_that_nobody_knows_is_used)
{
    auto entry = target("i-1");
    entry.insert(1, R"("other": )" + nested() + ",");
    server_.set_answer(200, list(entry));
    targets_result result;
    store_.list_targets([&](targets_result it) { result = std::move(it); });
    run();
    EXPECT_EQ(ids_of(result.changes), std::vector<std::string>{"i-1"});
}

/// The document is printed again to pass it on, which recurses as well.
TEST_F(store_test, configuration_with_deeply_nested_field_is_read)
{
    server_.set_answer(200,
        list(R"({"metadata": {"name": "main", "rev": 3}, "spec": {
            "version": 7, "hosts": [], "other": )" +
            nested() + "}}"));
    configuration_result result;
    store_.read_configuration(
        [&](configuration_result it) { result = std::move(it); });
    run();
    ASSERT_EQ(result.status, store_status::done);
    EXPECT_EQ(result.document.version, 7u);
    ASSERT_NE(result.document.text, nullptr);
    EXPECT_LT(result.document.text->size(), 1000u);
}

TEST_F(store_test, lists_of_other_kinds_with_deeply_nested_entry_are_read)
{
    server_.set_answer(200,
        list(R"({"metadata": {"name": "east"}, "spec": )" + nested() + "}"));
    closures_result closures;
    vms_result vms;
    store_.list_closures([&](closures_result it) { closures = std::move(it); });
    store_.list_vms([&](vms_result it) { vms = std::move(it); });
    run();
    EXPECT_EQ(closures.status, store_status::done);
    EXPECT_EQ(closures.closures.closed, std::vector{data_centre_id("east")});
    EXPECT_EQ(vms.status, store_status::done);
    EXPECT_TRUE(vms.vms.empty());
}

/// What the operator has written must stay, and only the revision that was read
/// may be replaced.
TEST_F(store_test, status_of_a_rollout_is_written_on_the_revision_that_was_read)
{
    server_.set_answer(200,
        list(R"({"metadata": {"name": "shop", "rev": 42, "finalizers": ["f"]},
            "spec": {"service": "s1", "toVersion": "v2", "finishByS": 30,
                "note": "n"}, "status": null})"));
    rollouts_result read;
    store_.list_rollouts([&](rollouts_result it) { read = std::move(it); });
    run();
    ASSERT_EQ(read.rollouts.orders.size(), 1u);
    server_.set_answer(200, R"({"metadata": {"name": "shop", "rev": 51}})");
    rollout_write_result written;
    store_.write_rollout(read.rollouts.orders.front(), rollout_status::running,
        [&](rollout_write_result it) { written = it; });
    run();
    EXPECT_EQ(written.status, store_status::done);
    EXPECT_EQ(written.revision, 51u);
    EXPECT_TRUE(server_.head().starts_with("PUT /objects/rollouts/shop "));
    auto const body = nlohmann::json::parse(server_.body());
    EXPECT_EQ(body.at("metadata").at("rev"), 42);
    EXPECT_EQ(body.at("metadata").at("finalizers").size(), 1u);
    EXPECT_EQ(body.at("spec").at("note"), "n");
    EXPECT_EQ(body.at("status"),
        (nlohmann::json{{"state", "running"}, {"toVersion", "v2"}}));
}

/// Two VMs that decide at the same time.
TEST_F(store_test, status_of_a_rollout_that_changed_meanwhile_is_a_conflict)
{
    server_.set_answer(200, list(R"({"metadata": {"name": "shop", "rev": 42},
            "spec": {"service": "s1", "toVersion": "v2", "finishByS": 30}})"));
    rollouts_result read;
    store_.list_rollouts([&](rollouts_result it) { read = std::move(it); });
    run();
    ASSERT_EQ(read.rollouts.orders.size(), 1u);
    server_.set_answer(409, R"({"metadata": {"name": "shop", "rev": 43}})");
    rollout_write_result written;
    auto const write = [&](rollout_order const& order) {
        store_.write_rollout(order, rollout_status::succeeded,
            [&](rollout_write_result it) { written = it; });
        run();
    };
    write(read.rollouts.orders.front());
    EXPECT_EQ(written.status, store_status::conflict);
    // The entry has been listed again since.
    auto outdated = read.rollouts.orders.front();
    outdated.revision = 41;
    written = {};
    write(outdated);
    EXPECT_EQ(written.status, store_status::conflict);
}

TEST_F(store_test, rollout_that_cannot_be_read_costs_only_itself)
{
    server_.set_answer(200, list(R"({"metadata": {"name": "a", "rev": 42},
            "spec": {"service": "s1", "toVersion": 7, "finishByS": 30}},
            {"metadata": {"name": "b", "rev": 43},
            "spec": {"service": "s2", "toVersion": "v2", "finishByS": 30}})"));
    rollouts_result read;
    store_.list_rollouts([&](rollouts_result it) { read = std::move(it); });
    run();
    ASSERT_EQ(read.rollouts.orders.size(), 1u);
    EXPECT_EQ(read.rollouts.orders.front().service, service_id("s2"));
}

/// A record that exists was taken for none, and its request for not run.
TEST_F(store_test, deeply_nested_record_is_unknown)
{
    server_.set_answer(409,
        R"({"metadata": {"name": "r", "rev": 3}, "spec": )" + nested() + "}");
    auto outcome = record_outcome::accepted;
    records_.create({},
        [&](record_outcome it, idempotency_record const&) { outcome = it; });
    run();
    EXPECT_EQ(outcome, record_outcome::unknown);
}

} // namespace
} // namespace pomelohinge::platform
