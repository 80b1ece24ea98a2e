#include "core/foreign_json.hpp"

#include "core/json_text.hpp"

#include <gtest/gtest.h>
#include <random>

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

/// A value that cannot be read, the text it is in and what remains of it.
struct invalid_text
{
    char const* text;
    char const* value;
    std::vector<std::string> places;
};

class invalid_json_test : public testing::TestWithParam<invalid_text>
{
};

TEST_P(invalid_json_test, read_of_invalid_part_keeps_the_rest)
{
    auto const read = read_foreign_json(GetParam().text);
    EXPECT_EQ(read.value, nlohmann::json::parse(GetParam().value))
        << read.value.dump();
    EXPECT_EQ(read.invalid, GetParam().places);
    EXPECT_TRUE(parse_foreign_json(GetParam().text).is_discarded());
}

INSTANTIATE_TEST_SUITE_P(texts, invalid_json_test,
    testing::Values(invalid_text{"[1, 1e999, 2]", "[1, {}, 2]", {"/1"}},
        invalid_text{"{\"a\": NaN, \"b\": 1}", R"({"a": {}, "b": 1})", {"/a"}},
        invalid_text{"[\"\\udcff\", \"\xff\", \"a\nb\", 1]", "[{}, {}, {}, 1]",
            {"/0", "/1", "/2"}},
        invalid_text{R"([{"\udcff": 1, "a": 2}, 3])", "[{}, 3]", {"/0"}},
        invalid_text{R"([{"b": {"a": 2, "\udcff": [1]}, "c": 4}, 3])",
            R"([{"b": {}, "c": 4}, 3])", {"/0/b"}},
        invalid_text{R"([{"a" 1, "b": 2}, 3])", "[{}, 3]", {"/0"}},
        invalid_text{R"({"a/b": [{"c": 1]})", R"({"a/b": [{}]})", {"/a~1b/0"}},
        invalid_text{R"([[1}, 2], [3]])", "[{}, [3]]", {"/0"}},
        invalid_text{R"([{"a": 1,}, 2])", "[{}, 2]", {"/0"}},
        invalid_text{R"([[,], [1 2], {"a"}, {1: 2}, 5])", "[{}, {}, {}, {}, 5]",
            {"/0", "/1", "/2", "/3"}}));

/// Guards against a search through all open containers for each bracket.
TEST_F(foreign_json_test, read_of_brackets_that_do_not_match_takes_linear_time)
{
    constexpr std::size_t depth = 500'000;
    auto const text = std::string(depth, '{') + std::string(depth, ']');
    EXPECT_TRUE(read_foreign_json(text).value.is_discarded());
    EXPECT_TRUE(read_foreign_json("[" + text).value.is_discarded());
}

/// Mutated texts are read as the parser of the library does, if it accepts
/// them, and otherwise name at least one place.
TEST_F(foreign_json_test, read_of_mutated_texts_agrees_with_the_library)
{
    using nlohmann::json;
    std::string const sound =
        R"({"items": [{"a": 1.5, "b": [true, null, "x\u00e9\n"],
            "c": {"d": -3}}, {"a": 2}], "at": 50})";
    std::string const alphabet = "{}[],:\"\\0123eE+-.ntua \n\xff";
    std::minstd_rand random(1);
    for (int n = 0; n < 20'000; ++n) {
        auto text = sound;
        for (auto changes = 1 + random() % 3; changes > 0; --changes) {
            auto const at = random() % text.size();
            if (random() % 2 == 0)
                text.erase(at, 1 + random() % 3);
            else
                text[at] = alphabet[random() % alphabet.size()];
        }
        auto const expected = json::parse(text, nullptr, false);
        auto const read = read_foreign_json(text);
        if (!expected.is_discarded()) {
            ASSERT_EQ(read.value, expected) << text;
        }
        ASSERT_EQ(read.value.is_discarded() || !read.invalid.empty(),
            expected.is_discarded())
            << text;
    }
}

} // namespace
} // namespace pomelohinge
