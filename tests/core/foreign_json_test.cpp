#include "core/foreign_json.hpp"

#include "core/json_text.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class foreign_json_test : public testing::Test
{
protected:
    static std::string nested(std::size_t depth)
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    /// Number of levels of nested arrays.
    static std::size_t depth_of(nlohmann::json const& value)
    {
        std::size_t depth = 0;
        for (auto const* it = &value; it->is_array(); it = &it->front()) {
            ++depth;
            if (it->empty())
                break;
        }
        return depth;
    }
};

TEST_F(foreign_json_test, parse_of_values_of_all_types_keeps_them)
{
    auto const it = parse_foreign_json(
        R"({"a": [1, -2, 2.5, true, null, "x"], "b": {"c": {}}, "d": []})");
    EXPECT_EQ(it,
        nlohmann::json({{"a", {1, -2, 2.5, true, nullptr, "x"}},
            {"b", {{"c", nlohmann::json::object()}}},
            {"d", nlohmann::json::array()}}));
}

TEST_F(foreign_json_test, parse_of_invalid_text_is_discarded)
{
    for (auto const* it : {"", "{", "[1,]", "{\"a\" 1}", "1 2", "{\"a\": nul}"})
        EXPECT_TRUE(parse_foreign_json(it).is_discarded()) << it;
}

TEST_F(foreign_json_test, parse_at_the_depth_limit_keeps_all_levels)
{
    EXPECT_EQ(
        depth_of(parse_foreign_json(nested(max_json_depth))), max_json_depth);
}

/// Guards against a stack overflow: a copy of a value recurses once a level.
TEST_F(foreign_json_test, parse_of_deeply_nested_arrays_cuts_them_off)
{
    constexpr std::size_t depth = 400'000;
    auto const parsed = parse_foreign_json(nested(depth));
    auto const copy = parsed;
    EXPECT_EQ(depth_of(copy), max_json_depth);
    EXPECT_EQ(copy.dump().size(), 2 * max_json_depth + 4);
}

TEST_F(foreign_json_test, parse_of_deeply_nested_objects_cuts_them_off)
{
    constexpr std::size_t depth = 100'000;
    std::string text;
    for (std::size_t n = 0; n < depth; ++n)
        text += "{\"a\":";
    text += "1" + std::string(depth, '}');
    auto const parsed = parse_foreign_json(text);
    auto const copy = parsed;
    EXPECT_TRUE(copy.is_object());
    EXPECT_LT(copy.dump().size(), 10 * max_json_depth);
}

TEST_F(foreign_json_test, parse_beside_a_nested_value_keeps_the_others)
{
    auto const it = parse_foreign_json("{\"a\": 1, \"b\": " + nested(1000) +
        ", \"c\": [2, " + nested(1000) + ", {\"d\": 3}], \"e\": 4}");
    EXPECT_EQ(it.at("a"), 1);
    EXPECT_EQ(it.at("c").at(0), 2);
    EXPECT_EQ(it.at("c").at(2), nlohmann::json({{"d", 3}}));
    EXPECT_EQ(it.at("e"), 4);
}

} // namespace
} // namespace pomelohinge
