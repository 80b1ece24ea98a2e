#include "drivers/http/curl_loop.hpp"
#include "tests/drivers/scripted_target.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// Answers of the store. One that does not prove its end may be a part of
/// another, and one that is malformed may be two.
class store_answer_test : public testing::Test
{
protected:
    /// Calls a store that sends `bytes` and closes the connection.
    http_result call(std::string const& bytes)
    {
        scripted_target const store([&](target_connection& it) {
            it.read_head();
            it.write(bytes);
            it.shut_down();
        });
        asio::io_context context;
        curl_loop http(context);
        http_result result;
        http.start(make_own_call("http://" + store.address() + "/",
                       std::chrono::seconds(5)),
            [&](http_result it) { result = std::move(it); });
        context.run();
        return result;
    }

    http_end end_of(std::string const& bytes) { return call(bytes).end; }
};

TEST_F(store_answer_test, answer_with_a_proven_end_is_accepted)
{
    for (std::string const bytes : {
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
             "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n"
             "\r\nok",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
             "2\r\nok\r\n0\r\n\r\n",
             "HTTP/1.1 204 No Content\r\n\r\n",
             "HTTP/1.1 304 Not Modified\r\n\r\n",
             "HTTP/1.1 599\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
         })
        EXPECT_EQ(end_of(bytes), http_end::answered) << bytes;
}

TEST_F(store_answer_test, answer_without_a_proven_end_is_lost)
{
    for (std::string const framing : {
             "",
             "Content-Length: 3\r\n",
             "Content-Length: \r\n",
             "Content-Length: 2x\r\n",
             "Content-Length: +2\r\n",
             "Content-Length: 99999999999999999999\r\n",
             "Content-Length: 3\r\nContent-Length: 2\r\n",
             "Transfer-Encoding: identity\r\n",
             "Transfer-Encoding: \r\n",
         })
        EXPECT_EQ(
            end_of("HTTP/1.1 200 OK\r\n" + framing + "\r\nok"), http_end::lost)
            << framing;
    EXPECT_EQ(end_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\nok\r\n"),
        http_end::lost);
}

TEST_F(store_answer_test, length_beside_chunks_is_lost)
{
    EXPECT_EQ(end_of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"
                     "2\r\nok\r\n0\r\n\r\n"),
        http_end::lost);
}

TEST_F(store_answer_test, malformed_status_line_is_lost)
{
    for (std::string const start : {
             "HTTP/0.9 200 OK",
             "HTTP/1.2 200 OK",
             "HTTP/2 200 OK",
             "HTTP/2.0 200 OK",
             "HTTP/3 200 OK",
             "http/1.1 200 OK",
             "HTTP/1.1 000 None",
             "HTTP/1.1 099 None",
             "HTTP/1.1 101 Switching Protocols",
             "HTTP/1.1 20 OK",
             "HTTP/1.1 2000 OK",
             "HTTP/1.1 600 None",
             "HTTP/1.1 999 None",
             "HTTP/1.1  200 OK",
             "HTTP/1.1 200 O\x01K",
         })
        EXPECT_EQ(
            end_of(start + "\r\nContent-Length: 2\r\n\r\nok"), http_end::lost)
            << start;
}

TEST_F(store_answer_test, body_without_a_head_is_lost)
{
    EXPECT_EQ(end_of("{\"version\": 1}"), http_end::lost);
}

TEST_F(store_answer_test, malformed_line_is_lost)
{
    for (std::string const line :
        {"X-Note: a\r\n b\r\n", "X-Note: a\n", "X-Note : a\r\n", "X-Note\r\n",
            "X-Note: a\rb\r\n", "X-Note: HTTP/1.1 200 OK\r\n"})
        EXPECT_EQ(end_of("HTTP/1.1 200 OK\r\n" + line +
                      "Content-Length: 2\r\n\r\nok"),
            http_end::lost)
            << line;
}

/// Trailers were read as headers, such as the version of the object.
TEST_F(store_answer_test, trailers_are_not_headers)
{
    auto const result =
        call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2\r\nok\r\n0\r\nObject-Version: 7\r\n\r\n");
    EXPECT_EQ(result.end, http_end::answered);
    EXPECT_EQ(find_header(result.headers, "Object-Version"), "");
}

} // namespace
} // namespace pomelohinge
