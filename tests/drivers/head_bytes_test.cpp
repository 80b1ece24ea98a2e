#include "tests/drivers/head_bytes.hpp"

#include "drivers/front/request_scanner.hpp"
#include "drivers/http/answer_parser.hpp"
#include "drivers/http/curl_loop.hpp"
#include "tests/drivers/scripted_target.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

constexpr int byte_values = 256;

/// Every byte value in each position of a header's name and value, in heads of
/// targets, of callers and of the store. A byte that one reader ignores and the
/// next one obeys makes two heads of one.
class head_bytes_test : public testing::TestWithParam<byte_position>
{
protected:
    /// The byte values that `accepts` judges otherwise than the grammar does.
    template <class Accepts>
    static std::string misjudged(Accepts accepts)
    {
        std::string bytes;
        for (int byte = 0; byte < byte_values; ++byte)
            if (accepts(header_with(GetParam(), byte)) !=
                is_allowed(GetParam(), byte))
                bytes += std::to_string(byte) + " ";
        return bytes;
    }

    /// Whether a target's answer with this header is accepted, if it is read in
    /// pieces of `piece` bytes.
    static bool accepts_answer(std::string const& line, std::size_t piece)
    {
        auto const bytes =
            "HTTP/1.1 200 OK\r\n" + line + "Content-Length: 2\r\n\r\nok";
        answer_parser parser(false, 1 << 20);
        auto result = answer_parser::progress::incomplete;
        for (std::size_t at = 0; at < bytes.size() &&
             result == answer_parser::progress::incomplete;) {
            std::size_t n = 0;
            result = parser.parse(std::string_view(bytes).substr(at, piece), n);
            at += n;
        }
        return result == answer_parser::progress::complete;
    }

    static bool accepts_request(std::string const& line, std::size_t piece)
    {
        auto const bytes = "GET / HTTP/1.1\r\n" + line + "Host: x\r\n\r\n";
        request_scanner scanner;
        for (std::size_t at = 0; at < bytes.size(); at += piece)
            scanner.scan(std::string_view(bytes).substr(at, piece));
        return !scanner.is_malformed();
    }

    static bool accepts_store_answer(std::string const& line)
    {
        scripted_target const store([&](target_connection& it) {
            it.read_head();
            it.write(
                "HTTP/1.1 200 OK\r\n" + line + "Content-Length: 2\r\n\r\nok");
            it.await_close();
        });
        asio::io_context context;
        curl_loop http(context);
        auto end = http_end::not_sent;
        http.start(make_own_call("http://" + store.address() + "/",
                       std::chrono::seconds(5)),
            [&](http_result it) { end = it.end; });
        context.run();
        return end == http_end::answered;
    }
};

TEST_P(head_bytes_test, answer_read_whole_follows_the_grammar)
{
    EXPECT_EQ(misjudged([](auto const& line) {
        return accepts_answer(line, std::string::npos);
    }),
        "");
}

TEST_P(head_bytes_test, answer_read_byte_by_byte_follows_the_grammar)
{
    EXPECT_EQ(
        misjudged([](auto const& line) { return accepts_answer(line, 1); }),
        "");
}

TEST_P(head_bytes_test, request_read_whole_follows_the_grammar)
{
    EXPECT_EQ(misjudged([](auto const& line) {
        constexpr std::size_t all = 1 << 20;
        return accepts_request(line, all);
    }),
        "");
}

TEST_P(head_bytes_test, request_read_byte_by_byte_follows_the_grammar)
{
    EXPECT_EQ(
        misjudged([](auto const& line) { return accepts_request(line, 1); }),
        "");
}

TEST_P(head_bytes_test, answer_of_the_store_follows_the_grammar)
{
    EXPECT_EQ(misjudged(accepts_store_answer), "");
}

INSTANTIATE_TEST_SUITE_P(positions, head_bytes_test,
    testing::Values(byte_position::first_of_name, byte_position::middle_of_name,
        byte_position::last_of_name, byte_position::first_of_value,
        byte_position::middle_of_value, byte_position::last_of_value),
    [](auto const& it) { return std::string(to_name(it.param)); });

} // namespace
} // namespace pomelohinge
