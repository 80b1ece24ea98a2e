#include "platform/store.hpp"

#include "core/log.hpp"
#include "platform/documents.hpp"
#include "tests/platform/fixed_store.hpp"

#include <gtest/gtest.h>

namespace pomelohinge::platform {
namespace {

constexpr std::size_t depth = 130'000;
constexpr std::size_t flat_size = 1'000'000;

std::string repeat(std::string_view text, std::size_t times)
{
    std::string repeated;
    repeated.reserve(text.size() * times);
    for (std::size_t n = 0; n < times; ++n)
        repeated += text;
    return repeated;
}

/// A JSON text that another program may write in place of a string.
struct invalid_value
{
    char const* name;
    std::string text;
};

std::vector<invalid_value> invalid_values()
{
    using namespace std::string_literals;
    return {
        {"number_out_of_range", "1e999"},
        {"number_of_200000_digits", std::string(200'000, '7')},
        {"number_with_leading_zeros", "007"},
        {"not_a_number", "NaN"},
        {"bytes_that_are_not_utf8", "\"legacy-\xff\""},
        {"truncated_utf8", "\"\xe2\x82\""},
        {"lone_high_surrogate", "\"\\ud800\""},
        {"lone_low_surrogate", "\"legacy-\\udcff\""},
        {"unknown_escape", "\"\\q\""},
        {"nul_in_string", "\"a\0b\""s},
        {"nul_outside_string", "\0"s},
        {"control_characters", "\"a\x01\n\tb\""},
        {"unknown_word", "undefined"},
        {"nested_arrays", repeat("[", depth) + repeat("]", depth)},
        {"nested_objects", repeat("{\"a\":", depth) + "1" + repeat("}", depth)},
        {"nested_objects_and_arrays",
            repeat("{\"a\":[", depth) + repeat("]}", depth)},
        {"flat_array_of_one_megabyte",
            "[0" + repeat(",7", flat_size / 2) + "]"},
        {"object_with_doubled_keys", R"({"a": {"b": 1}, "a": 2, "a": "s1"})"},
        {"object_with_invalid_key", "{\"\\udcff\": 1}"},
        {"array_without_comma", "[1 2]"},
        {"object_without_colon", "{\"a\" 1}"},
        {"object_with_number_as_key", "{1: 2}"},
    };
}

/// The field of a target's entry that has an invalid value.
enum class entry_field { service, address, state, unknown };

char const* pointer_of(entry_field field)
{
    switch (field) {
    case entry_field::service:
        return "/spec/info/service";
    case entry_field::address:
        return "/spec/address";
    case entry_field::state:
        return "/status/state";
    case entry_field::unknown:
        break;
    }
    return "/spec/other";
}

/// Answers of the store in which one entry has a value that is not valid JSON,
/// beside sound entries.
class invalid_entry_test
    : public testing::TestWithParam<std::tuple<invalid_value, entry_field>>
{
protected:
    invalid_entry_test() : http_(context_), store_(http_, server_.address()) {}

    /// The entry of a target, sound unless `value` replaces that of `field`.
    static std::string target(std::string const& name,
        std::optional<entry_field> field = std::nullopt,
        std::string const& value = "")
    {
        auto const text = [&](entry_field it, char const* sound) {
            return field == it ? value : std::string(sound);
        };
        return R"({"metadata": {"name": ")" + name +
            R"(", "rev": 42}, "spec": {"address": )" +
            text(entry_field::address, "\"10.0.0.9:80\"") + R"(, "other": )" +
            text(entry_field::unknown, "1") +
            R"(, "born": 17, "info": {"service": )" +
            text(entry_field::service, "\"s1\"") +
            R"(, "version": "v1", "zone": "east", "slots": 6}},
            "status": {"state": )" +
            text(entry_field::state, "\"ready\"") + R"(, "seq": 4}})";
    }

    static std::string target(std::string const& name,
        std::tuple<invalid_value, entry_field> const& it)
    {
        return target(
            name, std::get<entry_field>(it), std::get<invalid_value>(it).text);
    }

    static std::string event(std::string const& object, bool deleted = false)
    {
        return R"({"object": )" + object + R"(, "deleted": )" +
            (deleted ? "true" : "false") + "}";
    }

    void set_list(std::string const& items)
    {
        server_.set_answer(200,
            R"({"items": [)" + items + R"(], "hasMore": false, "at": 50})");
    }

    void set_watch(std::string const& events)
    {
        server_.set_answer(200, R"({"events": [)" + events + R"(], "at": 51})");
    }

    targets_result list_targets()
    {
        targets_result result;
        store_.list_targets([&](targets_result it) { result = std::move(it); });
        run();
        return result;
    }

    targets_result watch_targets()
    {
        targets_result result;
        store_.watch_targets(50, std::chrono::seconds(1),
            [&](targets_result it) { result = std::move(it); });
        run();
        return result;
    }

    void run()
    {
        constexpr auto timeout = std::chrono::seconds(5);
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

    /// Targets in use beside `i-1` and `i-2`.
    static std::vector<std::string> expected_ids(entry_field field)
    {
        return field == entry_field::unknown
            ? std::vector<std::string>{"i-1", "i-odd", "i-2"}
            : std::vector<std::string>{"i-1", "i-2"};
    }

    asio::io_context context_;
    fixed_store server_;
    curl_loop http_;
    store store_;
};

TEST_P(invalid_entry_test, list_with_invalid_value_keeps_the_other_targets)
{
    set_list(target("i-1") + "," + target("i-odd", GetParam()) + "," +
        target("i-2"));
    auto const result = list_targets();
    EXPECT_EQ(result.status, store_status::done);
    EXPECT_EQ(result.changes.revision, 50u);
    EXPECT_EQ(ids_of(result.changes),
        expected_ids(std::get<entry_field>(GetParam())));
}

TEST_P(invalid_entry_test, watch_with_invalid_value_keeps_the_other_targets)
{
    set_watch(event(target("i-1")) + "," + event(target("i-odd", GetParam())) +
        "," + event(target("i-2")));
    auto const result = watch_targets();
    EXPECT_EQ(result.status, store_status::done);
    EXPECT_EQ(result.changes.revision, 51u);
    auto const field = std::get<entry_field>(GetParam());
    EXPECT_EQ(ids_of(result.changes), expected_ids(field));
    EXPECT_EQ(
        result.changes.removed.size(), field == entry_field::unknown ? 0u : 1u);
}

TEST_P(invalid_entry_test, deletion_of_target_with_invalid_value_removes_it)
{
    set_watch(event(target("i-odd", GetParam()), true));
    EXPECT_EQ(watch_targets().changes.removed, std::vector{target_id("i-odd")});
}

INSTANTIATE_TEST_SUITE_P(values, invalid_entry_test,
    testing::Combine(testing::ValuesIn(invalid_values()),
        testing::Values(entry_field::service, entry_field::address,
            entry_field::state, entry_field::unknown)),
    [](auto const& it) {
        std::string field = pointer_of(std::get<entry_field>(it.param));
        return std::string(std::get<invalid_value>(it.param).name) + "_as_" +
            field.substr(field.rfind('/') + 1);
    });

/// As above, for cases that no table of values describes.
class unreadable_entry_test : public invalid_entry_test
{
protected:
    static std::size_t count(std::string const& text, std::string const& part)
    {
        std::size_t n = 0;
        for (auto at = text.find(part); at != std::string::npos;
             at = text.find(part, at + part.size()))
            ++n;
        return n;
    }
};

TEST_F(unreadable_entry_test, entry_with_invalid_name_is_left_out)
{
    set_list(R"({"metadata": {"name": "\udcff", "rev": 3}},)" + target("i-1") +
        R"(,nonsense,"\udcff",1e999,)" + target("i-2"));
    auto const result = list_targets();
    EXPECT_EQ(result.status, store_status::done);
    EXPECT_EQ(ids_of(result.changes), (std::vector<std::string>{"i-1", "i-2"}));
    EXPECT_TRUE(result.changes.removed.empty());
}

TEST_F(unreadable_entry_test, entry_with_syntax_error_is_left_out)
{
    for (auto const* it :
        {"[1, {\"a\": 2}", "[", "1,", ",", ":", "1 2", "\"a\" \"b\""}) {
        set_list(target("i-1") + "," +
            target("i-odd", entry_field::unknown, it) + "," + target("i-2"));
        EXPECT_EQ(ids_of(list_targets().changes),
            (std::vector<std::string>{"i-1", "i-2"}))
            << it;
    }
}

/// Guards against a list that is read from its start for ever.
TEST_F(unreadable_entry_test, page_without_readable_name_ends_the_list)
{
    for (std::string const it : {"\"\\udcff\"", "5", "\"\""}) {
        server_.set_answer(200,
            R"({"items": [{"metadata": {"name": )" + it +
                R"(}}], "hasMore": true, "at": 50})");
        std::optional<store_status> ended;
        store_.list_targets([&](targets_result done) { ended = done.status; });
        run();
        EXPECT_EQ(ended, store_status::unavailable) << it;
    }
}

TEST_F(unreadable_entry_test, configuration_with_invalid_value_is_refused)
{
    for (std::string const it : {R"("tenants": "\udcff")", R"("hosts": 1e999)",
             R"("hosts": [{"host": "a", "paths": "\ud800"}])",
             R"("services": [{"name": "s", "warmupS": 1e999}])"}) {
        set_list(R"({"metadata": {"name": "main", "rev": 3}, "spec": {
            "version": 7, "hosts": [], )" +
            it + "}}");
        configuration_result result;
        store_.read_configuration(
            [&](configuration_result read) { result = std::move(read); });
        run();
        ASSERT_EQ(result.status, store_status::done) << it;
        ASSERT_NE(result.document.text, nullptr) << it;
        findings found("configuration");
        EXPECT_FALSE(decode_configuration(*result.document.text, found)) << it;
    }
}

/// Without the field that the key was meant for, all routes could be open.
TEST_F(unreadable_entry_test, configuration_with_invalid_key_is_not_used)
{
    set_list(R"({"metadata": {"name": "main", "rev": 3}, "spec": {
        "version": 7, "hosts": [], "ten\udcffants": []}})");
    configuration_result result;
    store_.read_configuration(
        [&](configuration_result it) { result = std::move(it); });
    run();
    EXPECT_EQ(result.status, store_status::done);
    EXPECT_EQ(result.document.text, nullptr);
}

TEST_F(unreadable_entry_test, configuration_with_invalid_unknown_value_is_used)
{
    set_list(R"({"metadata": {"name": "main", "rev": 3}, "spec": {
        "version": 7, "hosts": [], "comment": "\udcff"}})");
    configuration_result result;
    store_.read_configuration(
        [&](configuration_result it) { result = std::move(it); });
    run();
    ASSERT_NE(result.document.text, nullptr);
    findings found("configuration");
    EXPECT_TRUE(decode_configuration(*result.document.text, found))
        << found.to_text();
}

TEST_F(unreadable_entry_test, entry_read_again_is_logged_once)
{
    log_settings settings;
    settings.format = log_format::json;
    testing::internal::CaptureStdout();
    configure_log(settings);
    auto const odd = [](char const* value) {
        return target("i-once", entry_field::service, value);
    };
    set_list(target("i-1") + "," + odd("\"\\udcff\""));
    list_targets();
    list_targets();
    set_watch(event(odd("\"\\udcff\"")));
    watch_targets();
    set_list(target("i-1") + "," + target("i-once"));
    list_targets();
    set_list(target("i-1") + "," + odd("\"\\udcff\""));
    list_targets();
    EXPECT_TRUE(shutdown_log(std::chrono::seconds(1)));
    auto const logged = testing::internal::GetCapturedStdout();
    // It has become valid in between.
    EXPECT_EQ(count(logged, "\"object\":\"servers/i-once\""), 2u) << logged;
    EXPECT_EQ(
        count(logged, "servers/i-once: /spec/info/service: not valid JSON"), 2u)
        << logged;
}

} // namespace
} // namespace pomelohinge::platform
