#include "core/json_text.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class json_text_test : public testing::Test
{
protected:
    findings found_{"text"};
};

TEST_F(json_text_test, parse_with_comments_records_positions)
{
    auto const document = parse_json_text("{ // first\n"
                                          "  \"a\": 1, /* two\n"
                                          "  lines */ \"b\": [true, \"x\"]\n"
                                          "}\n",
        found_);
    ASSERT_TRUE(document) << found_.to_text();
    EXPECT_EQ(document->position_of("/a"), (text_position{2, 8}));
    EXPECT_EQ(document->position_of("/b"), (text_position{3, 17}));
    EXPECT_EQ(document->position_of("/b/1"), (text_position{3, 24}));
}

TEST_F(json_text_test, position_of_absent_value_is_that_of_its_parent)
{
    auto const document = parse_json_text("{\"a\": {\"b\": 1}}", found_);
    ASSERT_TRUE(document);
    EXPECT_EQ(document->position_of("/a/c"), document->position_of("/a"));
}

TEST_F(json_text_test, parse_of_invalid_text_reports_its_line)
{
    EXPECT_FALSE(parse_json_text("{\n  \"a\": ,\n}", found_));
    ASSERT_EQ(found_.items().size(), 1u);
    EXPECT_EQ(found_.items().front().position.line, 2u);
}

TEST_F(json_text_test, parse_of_duplicate_key_adds_finding)
{
    EXPECT_FALSE(parse_json_text("{\"a\": 1,\n \"a\": 2}", found_));
    ASSERT_EQ(found_.items().size(), 1u);
    EXPECT_EQ(found_.items().front().position, (text_position{2, 2}));
}

/// Guards against memory that grows with the square of the depth: the position
/// of each value is kept with its path.
TEST_F(json_text_test, parse_of_deeply_nested_value_adds_finding)
{
    constexpr std::size_t depth = 100'000;
    EXPECT_FALSE(parse_json_text(
        "{\"a\":\n" + std::string(depth, '[') + std::string(depth, ']') + "}",
        found_));
    ASSERT_EQ(found_.items().size(), 1u);
    EXPECT_EQ(
        found_.items().front().position, (text_position{2, max_json_depth}));
}

TEST_F(json_text_test, parse_at_the_depth_limit_is_accepted)
{
    EXPECT_TRUE(parse_json_text(
        std::string(max_json_depth, '[') + std::string(max_json_depth, ']'),
        found_))
        << found_.to_text();
}

} // namespace
} // namespace pomelohinge
