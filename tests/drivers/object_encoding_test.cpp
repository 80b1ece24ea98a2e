#include "drivers/platform/object_encoding.hpp"

#include "drivers/platform/http_object_store.hpp"
#include "tests/platform/fixed_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class object_encoding_test : public testing::Test
{
protected:
    findings found_{"object"};
};

/// Guards against an exception that ends the process when a target's header is
/// encoded as JSON.
TEST_F(object_encoding_test,
    record_with_content_type_that_is_not_utf8_is_read_back)
{
    idempotency_record record;
    record.answer = {201, "text/plain; charset=\xff\x80\xc3\xa9", "a"};
    auto const it = decode_record(encode_record(record), found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->answer.content_type, record.answer.content_type);
}

TEST_F(object_encoding_test, record_with_character_beyond_latin1_is_refused)
{
    idempotency_record record;
    record.answer.content_type = "CONTENT";
    auto text = encode_record(record);
    text.replace(text.find("CONTENT"), 7, "\xe2\x82\xac");
    EXPECT_FALSE(decode_record(text, found_));
}

/// Guards against an exception that ends the process when an object of the
/// journal has fields of another type.
TEST_F(object_encoding_test, split_reference_with_wrong_type_is_no_reference)
{
    for (auto const* it : {R"({"version": "1", "write_id": "w", "parts": 2})",
             R"({"version": 1, "write_id": 5, "parts": 2})",
             R"({"version": 1, "write_id": "w", "parts": "2"})",
             R"({"version": 1, "write_id": "w", "parts": -2})",
             R"({"version": 1, "write_id": "w", "parts": 1e999})",
             R"({"version": null, "write_id": "w", "parts": null})",
             R"({"parts": {}})", "[]", "1", ""})
        EXPECT_FALSE(decode_split_reference(it)) << it;
    EXPECT_TRUE(decode_split_reference(
        R"({"version": 1, "write_id": "w", "parts": 2})"));
}

/// Answers of the product's own store to a watch.
class object_watch_test : public testing::Test
{
protected:
    object_watch_test() : http_(context_), store_(http_, server_.address()) {}

    watch_reply watch(std::string const& body)
    {
        server_.set_answer(200, body);
        watch_reply reply;
        store_.watch("config/journal/", 0, duration::zero(),
            [&](watch_reply it) { reply = std::move(it); });
        context_.restart();
        constexpr auto timeout = std::chrono::seconds(5);
        context_.run_for(timeout);
        return reply;
    }

    asio::io_context context_;
    platform::fixed_store server_;
    curl_loop http_;
    http_object_store store_;
};

/// Guards against an exception that ends the process when an answer of the
/// store has fields of another type.
TEST_F(object_watch_test, answer_with_wrong_type_is_unavailable)
{
    for (auto const* it : {R"({"revision": "1", "changed": []})",
             R"({"revision": -1, "changed": []})",
             R"({"revision": 1e999, "changed": []})",
             R"({"revision": 1, "changed": 5})", R"({"revision": 1})", "[1]"})
        EXPECT_EQ(watch(it).status, store_status::unavailable) << it;
}

TEST_F(object_watch_test, change_that_cannot_be_read_is_left_out)
{
    auto const reply = watch(R"({"revision": 7, "changed": [
        {"name": "a", "version": 1}, {"name": 5, "version": 1},
        {"name": "b", "version": "1"}, {"name": "c"}, 5, null,
        {"name": "\udcff", "version": 1}, {"name": "d", "version": 1e999},
        {"name": "e", "version": 2}]})");
    EXPECT_EQ(reply.status, store_status::done);
    EXPECT_EQ(reply.revision, 7u);
    ASSERT_EQ(reply.changed.size(), 2u);
    EXPECT_EQ(reply.changed[0].name, "a");
    EXPECT_EQ(reply.changed[1].name, "e");
    EXPECT_EQ(reply.changed[1].version, 2u);
}

} // namespace
} // namespace pomelohinge
