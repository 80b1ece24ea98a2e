#include "platform/store.hpp"
#include "tests/drivers/copying_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

/// Calls to a store whose answers tell its era, or do not.
///
/// Guards against data and confirmations of an earlier era that are taken for
/// those of the latest one.
class store_era_test : public testing::Test
{
protected:
    store_era_test()
        : http_(context_), store_(http_, server_.address()),
          records_(http_, server_.address())
    {
    }

    std::string answer(std::string const& call)
    {
        std::lock_guard const lock(mutex_);
        calls_.push_back(call.substr(0, call.find(' ')));
        auto const header = era_.empty() ? "" : "Store-Era: " + era_ + "\r\n";
        if (call.starts_with("POST"))
            return copying_store::encode(
                201, R"({"metadata": {"name": "a", "rev": 7}})", header);
        if (call.find("watch=") != std::string::npos)
            return copying_store::encode(
                is_gone_ ? 410 : 200, R"({"events": [], "at": 9})", header);
        if (call.find("idempotency") != std::string::npos)
            return copying_store::encode(404, "{}", header);
        if (call.find("after=") != std::string::npos)
            return copying_store::encode(200,
                R"({"items": [{"metadata": {"name": "b"}}], "at": 9})",
                "Store-Era: " + last_page_era_ + "\r\n");
        return copying_store::encode(200,
            last_page_era_.empty()
                ? R"({"items": [], "hasMore": false, "at": 9})"
                : R"({"items": [{"metadata": {"name": "a"}}],
                      "hasMore": true, "at": 9})",
            header);
    }

    void run()
    {
        constexpr auto timeout = std::chrono::seconds(5);
        context_.restart();
        context_.run_for(timeout);
    }

    void set_era(std::string era)
    {
        std::lock_guard const lock(mutex_);
        era_ = std::move(era);
    }

    targets_result list(std::string era)
    {
        set_era(std::move(era));
        targets_result result;
        store_.list_targets([&](targets_result it) {
            result = std::move(it);
            context_.stop();
        });
        run();
        return result;
    }

    targets_result watch(std::string era)
    {
        set_era(std::move(era));
        targets_result result;
        store_.watch_targets(9, {}, [&](targets_result it) {
            result = std::move(it);
            context_.stop();
        });
        run();
        return result;
    }

    record_outcome create(std::string era)
    {
        set_era(std::move(era));
        auto outcome = record_outcome::running;
        records_.create({}, [&](record_outcome it, idempotency_record const&) {
            outcome = it;
            context_.stop();
        });
        run();
        return outcome;
    }

    std::mutex mutex_;
    std::string era_;
    std::string last_page_era_;
    bool is_gone_ = false;
    std::vector<std::string> calls_;
    scripted_target server_{[this](target_connection& it) {
        it.write(answer(it.read_call()));
        it.shut_down();
    }};
    asio::io_context context_;
    curl_loop http_;
    store store_;
    records records_;
};

TEST_F(store_era_test, missing_or_unreadable_header_keeps_the_last_era)
{
    EXPECT_EQ(list("").era, 0u);
    EXPECT_EQ(list("4").era, 4u);
    for (auto const* it : {"", "x", "5x", "-1", "99999999999999999999999"}) {
        auto const result = list(it);
        EXPECT_EQ(result.status, store_status::done) << it;
        EXPECT_EQ(result.era, 4u) << it;
    }
    EXPECT_EQ(list("5").era, 5u);
}

TEST_F(store_era_test, watch_tells_the_era_also_when_its_history_is_gone)
{
    EXPECT_EQ(watch("4").era, 4u);
    is_gone_ = true;
    auto const result = watch("5");
    EXPECT_EQ(result.status, store_status::history_gone);
    EXPECT_EQ(result.era, 5u);
}

TEST_F(store_era_test, watch_answered_in_an_earlier_era_is_not_used)
{
    EXPECT_EQ(watch("5").status, store_status::done);
    EXPECT_EQ(watch("4").status, store_status::unavailable);
}

TEST_F(store_era_test, list_whose_pages_are_of_two_eras_is_not_used)
{
    last_page_era_ = "5";
    EXPECT_EQ(list("4").status, store_status::unavailable);
    EXPECT_EQ(list("5").status, store_status::done);
}

TEST_F(store_era_test, write_answered_in_an_earlier_era_is_read_back)
{
    EXPECT_EQ(create("5"), record_outcome::accepted);
    EXPECT_EQ(records_.era(), 5u);
    // The object is not there: the restore has lost it.
    EXPECT_EQ(create("4"), record_outcome::unavailable);
    EXPECT_EQ(calls_.back(), "GET");
    EXPECT_EQ(create("6"), record_outcome::accepted);
}

} // namespace
} // namespace pomelohinge::platform
