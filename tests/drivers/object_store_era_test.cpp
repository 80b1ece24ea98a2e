#include "drivers/platform/native_store.hpp"
#include "tests/drivers/copying_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// The native store over an object service that is restored from an older copy.
///
/// Guards against a journal that is not read any more because the revisions of
/// the object service have gone back.
class object_store_era_test : public testing::Test
{
protected:
    object_store_era_test()
        : http_(context_), objects_(http_, server_.address()),
          store_(http_, server_.address())
    {
    }

    static std::string entry(std::uint64_t version)
    {
        journal_entry it;
        it.version = version;
        it.write_id = "w";
        it.operator_name = "o";
        return encode_journal_entry(it);
    }

    std::string answer(std::string const& head)
    {
        std::lock_guard const lock(mutex_);
        auto const headers =
            "Object-Version: 1\r\nStore-Era: " + std::to_string(era_) + "\r\n";
        auto const line = head.substr(0, head.find('\r'));
        if (line.starts_with("PUT"))
            return copying_store::encode(200, "ok", headers);
        if (line.starts_with("GET /watch/")) {
            auto const at = line.find("since=") + 6;
            auto const since = std::stoull(line.substr(at));
            std::string changed;
            for (std::uint64_t n = since + 1; n <= revision_; ++n)
                changed += std::string(changed.empty() ? "" : ",") +
                    R"({"name": ")" + journal_entry_name(n) +
                    R"(", "version": )" + std::to_string(n) + "}";
            return copying_store::encode(200,
                R"({"revision": )" + std::to_string(revision_) +
                    R"(, "changed": [)" + changed + "]}",
                headers);
        }
        for (std::uint64_t n = 1; n <= revision_; ++n)
            if (line.find(journal_entry_name(n)) != std::string::npos)
                return copying_store::encode(200, entry(n), headers);
        return copying_store::encode(404, "", headers);
    }

    void run()
    {
        constexpr auto timeout = std::chrono::seconds(5);
        context_.restart();
        context_.run_for(timeout);
    }

    void set(std::uint64_t era, std::uint64_t revision)
    {
        std::lock_guard const lock(mutex_);
        era_ = era;
        revision_ = revision;
    }

    configuration_result read()
    {
        configuration_result result;
        store_.read_configuration([&](configuration_result it) {
            result = std::move(it);
            context_.stop();
        });
        run();
        return result;
    }

    put_reply put()
    {
        put_reply result;
        objects_.put("a", "value", 0, [&](put_reply it) {
            result = it;
            context_.stop();
        });
        run();
        return result;
    }

    std::mutex mutex_;
    std::uint64_t era_ = 1;
    std::uint64_t revision_ = 3;
    scripted_target server_{[this](target_connection& it) {
        it.write(answer(it.read_call()));
        it.shut_down();
    }};
    asio::io_context context_;
    curl_loop http_;
    http_object_store objects_;
    native_store store_;
};

TEST_F(object_store_era_test, configuration_keeps_its_highest_version)
{
    auto const before = read();
    EXPECT_EQ(before.document.version, 3u);
    EXPECT_EQ(before.era, 1u);
    set(2, 1);
    auto const restored = read();
    EXPECT_EQ(restored.status, store_status::done);
    EXPECT_EQ(restored.document.version, 3u);
    EXPECT_EQ(restored.era, 2u);
    // Revisions 2 and 3 are used again.
    set(2, 4);
    EXPECT_EQ(read().document.version, 4u);
}

TEST_F(object_store_era_test, write_answered_in_an_earlier_era_is_uncertain)
{
    EXPECT_EQ(put().status, store_status::done);
    set(3, 3);
    EXPECT_EQ(put().status, store_status::done);
    set(2, 3);
    // The object that is read back does not exist.
    EXPECT_EQ(put().status, store_status::unavailable);
}

} // namespace
} // namespace pomelohinge
