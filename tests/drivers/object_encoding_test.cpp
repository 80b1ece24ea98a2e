#include "drivers/platform/object_encoding.hpp"

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

} // namespace
} // namespace pomelohinge
