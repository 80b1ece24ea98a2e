#include "platform/store.hpp"
#include "tests/drivers/copying_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

/// Idempotency records in a store that keeps one object, and loses answers as
/// the test says.
class records_test : public testing::Test
{
protected:
    records_test() : http_(context_), records_(http_, server_.address()) {}

    /// Answers a call, or returns nothing if its answer is lost.
    std::string answer(std::string const& call)
    {
        auto const line = call.substr(0, call.find('\r'));
        std::lock_guard const lock(mutex_);
        calls_.push_back(line);
        if (line.starts_with("DELETE"))
            return remove(line);
        if (line.starts_with("POST") && object_.is_null() && !is_refusing_) {
            object_ =
                nlohmann::json::parse(call.substr(call.find("\r\n\r\n") + 4));
            object_["metadata"]["rev"] = ++revision_;
            return is_losing_
                ? ""
                : copying_store::encode(201, is_brief_ ? "{}" : object_.dump());
        }
        if (line.starts_with("POST"))
            return is_refusing_ ? copying_store::encode(503, "{}")
                : is_losing_    ? ""
                                : copying_store::encode(409, object_.dump());
        return object_.is_null() ? copying_store::encode(404, "{}")
                                 : copying_store::encode(200, object_.dump());
    }

    std::string remove(std::string const& line)
    {
        auto const revision = object_.is_null()
            ? std::string()
            : "rev=" + object_.at("metadata").at("rev").dump() + " ";
        if (object_.is_null())
            return copying_store::encode(404, "{}");
        bool const is_other = line.find("rev=") != std::string::npos &&
            line.find(revision) == std::string::npos;
        if (is_other)
            return copying_store::encode(409, object_.dump());
        object_ = nullptr;
        return copying_store::encode(200, "{}");
    }

    record_outcome create(idempotency_record& record)
    {
        auto outcome = record_outcome::unavailable;
        records_.create(
            record, [&](record_outcome it, idempotency_record const& found) {
                outcome = it;
                record.version = found.version;
                context_.stop();
            });
        run();
        return outcome;
    }

    void run()
    {
        constexpr auto timeout = std::chrono::seconds(5);
        context_.restart();
        context_.run_for(timeout);
    }

    static idempotency_record make_record(std::uint64_t writer)
    {
        idempotency_record record;
        record.organisation = "t1";
        record.idempotency_key = "order-1";
        record.writer = writer;
        return record;
    }

    std::mutex mutex_;
    nlohmann::json object_;
    std::uint64_t revision_ = 40;
    bool is_losing_ = false;
    bool is_refusing_ = false;
    /// Leaves the object out of the answer to its creation.
    bool is_brief_ = false;
    std::vector<std::string> calls_;
    scripted_target server_{[this](target_connection& it) {
        it.write(answer(it.read_call()));
        it.shut_down();
    }};
    asio::io_context context_;
    curl_loop http_;
    records records_;
};

/// A removal that the store carried out late took the record of a repeat, and
/// the next repeat ran as well.
TEST_F(records_test, removal_of_a_record_leaves_the_record_of_a_repeat)
{
    auto first = make_record(1);
    ASSERT_EQ(create(first), record_outcome::accepted);
    records_.remove(first);
    run();
    auto repeat = make_record(2);
    ASSERT_EQ(create(repeat), record_outcome::accepted);
    records_.remove(first);
    run();
    auto third = make_record(3);
    EXPECT_EQ(create(third), record_outcome::running);
}

/// The record stayed in the store and refused each repeat of an order that
/// had not run.
TEST_F(records_test, record_whose_creation_is_not_answered_is_read_back)
{
    is_losing_ = true;
    auto record = make_record(1);
    EXPECT_EQ(create(record), record_outcome::accepted);
    EXPECT_EQ(record.version, revision_);
}

TEST_F(records_test, record_of_another_request_is_not_read_back_as_its_own)
{
    auto first = make_record(1);
    ASSERT_EQ(create(first), record_outcome::accepted);
    is_losing_ = true;
    auto repeat = make_record(2);
    EXPECT_EQ(create(repeat), record_outcome::running);
}

TEST_F(records_test, record_created_without_revision_is_read_back)
{
    is_brief_ = true;
    auto record = make_record(1);
    EXPECT_EQ(create(record), record_outcome::accepted);
    EXPECT_EQ(record.version, revision_);
}

TEST_F(records_test, refused_creation_is_not_read_back)
{
    is_refusing_ = true;
    auto record = make_record(1);
    EXPECT_EQ(create(record), record_outcome::unavailable);
    EXPECT_EQ(calls_.size(), 1u);
}

} // namespace
} // namespace pomelohinge::platform
