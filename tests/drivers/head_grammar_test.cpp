#include "drivers/http/head_checker.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <iterator>
#include <string>
#include <vector>

namespace pomelohinge {
namespace {

constexpr int byte_values = 256;

/// The bytes of the grammar's sets, written without it.
const std::string digits = "0123456789";
const std::string tokens = "!#$%&'*+-.^_`|~" + digits +
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

std::string range(int first, int last)
{
    std::string bytes;
    for (int it = first; it <= last; ++it)
        bytes += static_cast<char>(it);
    return bytes;
}

const std::string visible = range('!', '~') + range(0x80, 0xff);
const std::string text = "\t " + visible;

/// A row of the grammar, with heads that pass it: `before`, one of `bytes` and
/// `after`.
struct row_case
{
    head_place place;
    head_place next;
    head_kind kind;
    std::string before;
    std::string bytes;
    std::string after;
};

const std::string start = "HTTP/1.1 204 No Content\r\n";
const std::string get = "GET / HTTP/1.1\r\n";
const std::string end = "\r\n\r\n";
constexpr auto answer = head_kind::answer;
constexpr auto request = head_kind::request;

const std::vector<row_case> cases = {
    {head_place::answer_start, head_place::answer_blank_line, answer, "", "\r",
        "\n" + start + "\r\n"},
    {head_place::answer_blank_line, head_place::answer_start, answer, "\r",
        "\n", start + "\r\n"},
    {head_place::answer_start, head_place::answer_minor_version, answer, "",
        "H", "TTP/1.1 204 No Content" + end},
    {head_place::answer_minor_version, head_place::answer_version_end, answer,
        "HTTP/1.", "01", " 204 No Content" + end},
    {head_place::answer_version_end, head_place::status_hundreds, answer,
        "HTTP/1.1", " ", "204 No Content" + end},
    {head_place::status_hundreds, head_place::status_tens, answer, "HTTP/1.1 ",
        "12345", "04 Some" + end},
    {head_place::status_tens, head_place::status_ones, answer, "HTTP/1.1 2",
        digits, "4 Some" + end},
    {head_place::status_ones, head_place::status_end, answer, "HTTP/1.1 20",
        digits, " Some" + end},
    {head_place::status_end, head_place::reason, answer, "HTTP/1.1 204", " ",
        "No Content" + end},
    {head_place::status_end, head_place::start_line_end, answer, "HTTP/1.1 204",
        "\r", "\n\r\n"},
    {head_place::reason, head_place::reason, answer, "HTTP/1.1 204 N", text,
        "o" + end},
    {head_place::reason, head_place::start_line_end, answer, "HTTP/1.1 204 N",
        "\r", "\n\r\n"},

    {head_place::request_start, head_place::request_blank_line, request, "",
        "\r", "\n" + get + "\r\n"},
    {head_place::request_blank_line, head_place::request_start, request, "\r",
        "\n", get + "\r\n"},
    {head_place::request_start, head_place::method, request, "", tokens,
        "ET / HTTP/1.1" + end},
    {head_place::method, head_place::method, request, "G", tokens,
        "T / HTTP/1.1" + end},
    {head_place::method, head_place::target_start, request, "G", " ",
        "/ HTTP/1.1" + end},
    {head_place::target_start, head_place::target, request, "GET ", visible,
        "a HTTP/1.1" + end},
    {head_place::target, head_place::target, request, "GET /", visible,
        "a HTTP/1.1" + end},
    {head_place::target, head_place::request_version, request, "GET /", " ",
        "HTTP/1.1" + end},
    {head_place::request_version, head_place::request_minor_version, request,
        "GET / ", "H", "TTP/1.1" + end},
    {head_place::request_minor_version, head_place::request_version_end,
        request, "GET / HTTP/1.", "01", end},
    {head_place::request_version_end, head_place::start_line_end, request,
        "GET / HTTP/1.1", "\r", "\n\r\n"},

    {head_place::start_line_end, head_place::field_start, answer,
        "HTTP/1.1 204 No Content\r", "\n", "\r\n"},
    {head_place::field_start, head_place::name, answer, start, tokens,
        "Name: 1" + end},
    {head_place::field_start, head_place::head_end, answer, start, "\r", "\n"},
    {head_place::name, head_place::name, answer, start + "N", tokens,
        "ame: 1" + end},
    {head_place::name, head_place::value, answer, start + "N", ":", " 1" + end},
    {head_place::value, head_place::value, answer, start + "N:", text, end},
    {head_place::value, head_place::value_end, answer, start + "N:", "\r",
        "\n\r\n"},
    {head_place::value_end, head_place::field_start, answer, start + "N: 1\r",
        "\n", "\r\n"},
    {head_place::head_end, head_place::complete, answer, start + "\r", "\n",
        ""},
};

/// Whether a head is accepted, in pieces of `piece` bytes.
bool accepts(head_kind kind, std::string_view bytes, std::size_t piece)
{
    head_checker checker(kind);
    for (std::size_t at = 0; at < bytes.size(); at += piece)
        if (!checker.check(bytes.substr(at, piece)))
            return false;
    return checker.is_complete();
}

/// Each row of the grammar accepts its bytes and no others. A row that is too
/// wide lets a head through that the next reader takes for another one.
class head_grammar_test : public testing::TestWithParam<row_case>
{
protected:
    /// Whether any row accepts the byte at the place of this case.
    static bool is_accepted_at_place(char byte)
    {
        return std::any_of(cases.begin(), cases.end(), [&](auto const& it) {
            return it.place == GetParam().place &&
                it.bytes.find(byte) != std::string::npos;
        });
    }
};

TEST_P(head_grammar_test, row_accepts_its_bytes_only)
{
    auto const& row = GetParam();
    for (int value = 0; value < byte_values; ++value) {
        auto const byte = static_cast<char>(value);
        auto const head = row.before + byte + row.after;
        bool const accepted = row.bytes.find(byte) != std::string::npos;
        if (!accepted && is_accepted_at_place(byte))
            continue;
        EXPECT_EQ(accepts(row.kind, head, 1), accepted) << value;
        EXPECT_EQ(accepts(row.kind, head, head.size()), accepted) << value;
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, head_grammar_test, testing::ValuesIn(cases), [](auto const& it) {
        return std::string(to_name(it.param.place)) + "_to_" +
            std::string(to_name(it.param.next));
    });

TEST(head_grammar_rows_test, every_row_has_a_case)
{
    EXPECT_EQ(cases.size(), std::size(head_grammar));
    for (auto const& row : head_grammar)
        EXPECT_EQ(std::count_if(cases.begin(), cases.end(),
                      [&](auto const& it) {
                          return it.place == row.place && it.next == row.next;
                      }),
            1)
            << to_name(row.place) << " to " << to_name(row.next);
}

/// Only one row may accept a byte at a place, since the first found is taken.
TEST(head_grammar_rows_test, rows_of_a_place_have_no_byte_in_common)
{
    for (auto const& left : cases)
        for (auto const& right : cases) {
            bool const is_other = &left != &right && left.place == right.place;
            EXPECT_FALSE(is_other &&
                left.bytes.find_first_of(right.bytes) != std::string::npos)
                << to_name(left.place);
        }
}

TEST(head_grammar_rows_test, version_is_accepted_with_its_own_bytes_only)
{
    std::string const version = "HTTP/1.";
    for (auto const& [kind, before, after] :
        {std::tuple(answer, "", "1 204 No Content\r\n\r\n"),
            std::tuple(request, "GET / ", "1\r\n\r\n")})
        for (std::size_t at = 0; at < version.size(); ++at)
            for (int value = 0; value < byte_values; ++value) {
                auto changed = version;
                changed[at] = static_cast<char>(value);
                bool const is_blank =
                    kind == answer && at == 0 && changed[at] == '\r';
                if (is_blank)
                    continue;
                auto const head = before + changed + after;
                EXPECT_EQ(accepts(kind, head, 1), changed == version) << head;
                EXPECT_EQ(accepts(kind, head, head.size()), changed == version)
                    << head;
            }
}

TEST(status_class_test, status_is_classified_by_what_follows_its_head)
{
    for (int status = 100; status < 600; ++status) {
        auto expected = status_class::with_body;
        if (status == 101)
            expected = status_class::protocol_change;
        else if (status < 200)
            expected = status_class::interim;
        else if (status == 204 || status == 304)
            expected = status_class::without_body;
        EXPECT_EQ(class_of(status), expected) << status;
        EXPECT_EQ(status_of("HTTP/1.1 " + std::to_string(status) + " Some\r\n"),
            status);
    }
}

} // namespace
} // namespace pomelohinge
