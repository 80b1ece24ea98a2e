#include "config/configuration_text.hpp"
#include "config/merge.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

class configuration_test : public testing::Test
{
protected:
    configuration parse(std::string_view text)
    {
        auto const it = parse_configuration(text, found_);
        EXPECT_TRUE(it) << found_.to_text();
        return it.value_or(configuration());
    }

    bool found(std::string_view message) const
    {
        return found_.to_text().find(message) != std::string::npos;
    }

    static configuration_change correction(
        std::string name, std::string service)
    {
        return {object_kind::correction, std::move(name),
            any_object(correction_object{service_id(std::move(service))})};
    }

    static constexpr std::string_view text = R"({"format": 1,
        "services": {"booking": {}, "counter": {}},
        "data_centres": {"derby": {"state": "out"}},
        "targets": {"b1": {"service": "booking", "data_centre": "derby",
            "address": "10.0.0.1:80", "slots": 6}},
        "routes": {"r": {"service": "booking", "methods": ["GET"]}},
        "organisations": {"pub": {}},
        "rates": {"pub": {"requests_per_second": 2.5, "burst": 9}}})";

    findings found_{"text"};
};

TEST_F(configuration_test, print_of_parsed_text_parses_to_equal_configuration)
{
    auto const first = parse(text);
    auto const printed = print_configuration(first);
    auto const second = parse(printed);
    EXPECT_TRUE(difference(first, second).empty());
    EXPECT_EQ(print_configuration(second), printed);
}

TEST_F(configuration_test, parse_with_invalid_references_reports_each_error)
{
    EXPECT_FALSE(parse_configuration(R"({"format": 1,
        "services": {"booking": {}},
        "corrections": {"booking": {"service": "booking"},
            "bokking": {"service": "boking"},
            "boking": {"service": "booking"}},
        "organisations": {"pub": {}},
        "targets": {"t": {"service": "orders", "data_centre": "x",
            "address": "10.0.0.1:80", "slots": 1}}})",
        found_));
    EXPECT_TRUE(found("a service of this name exists")) << found_.to_text();
    EXPECT_TRUE(found("it refers to another correction"));
    EXPECT_TRUE(found("the organisation has no rate"));
    EXPECT_TRUE(found("\"orders\" is not defined in \"services\""));
    EXPECT_TRUE(found(":7:")) << found_.to_text();
}

TEST_F(configuration_test, difference_applied_to_base_gives_other_configuration)
{
    auto const before = parse(text);
    auto const after = before.with(
        {correction("bokking", "booking"), {object_kind::route, "r", {}}});
    auto const changes = difference(before, after);
    EXPECT_EQ(changes.size(), 2u);
    EXPECT_TRUE(difference(before.with(changes), after).empty());
}

TEST_F(configuration_test, journal_entry_encoded_decodes_to_equal_entry)
{
    journal_entry const entry{7, "w1", "amina",
        {correction("bokking", "booking"), {object_kind::key, "k", {}}}};
    auto const read = decode_journal_entry(encode_journal_entry(entry), found_);
    ASSERT_TRUE(read) << found_.to_text();
    EXPECT_EQ(read->version, 7u);
    EXPECT_EQ(read->changes, entry.changes);
}

TEST_F(
    configuration_test, merge_with_unrelated_change_keeps_concurrent_correction)
{
    auto const base = parse(text);
    auto const current = base.with({correction("bokking", "booking")});
    auto const desired = base.with({{object_kind::route, "r", {}}});
    auto const merged = merge_configuration(base, desired, current);
    EXPECT_TRUE(merged.conflicts.empty());
    auto const next = current.with(merged.changes);
    EXPECT_NE(next.find<correction_object>("bokking"), nullptr);
    EXPECT_EQ(next.find<route_object>("r"), nullptr);
}

TEST_F(configuration_test, merge_of_different_changes_to_one_object_conflicts)
{
    auto const base = parse(text);
    auto const current = base.with({correction("x", "booking")});
    auto const desired = base.with({correction("x", "counter")});
    auto const merged = merge_configuration(base, desired, current);
    ASSERT_EQ(merged.conflicts.size(), 1u);
    EXPECT_EQ(merged.conflicts.front().name, "x");
}

} // namespace
} // namespace pomelohinge
