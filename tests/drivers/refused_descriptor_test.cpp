#include "drivers/http/curl_loop.hpp"

#include <asio/ip/tcp.hpp>
#include <cerrno>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

// The kernel refuses to watch a socket when a user watches too many. libcurl's
// callback threw then, through libcurl, which ended the process.

namespace {

/// The error of `epoll_ctl` on this thread when it is to watch a descriptor.
thread_local int refusal = 0;

} // namespace

/// Takes the place of the C library's function in this program.
extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event)
{
    if (refusal != 0 && operation == EPOLL_CTL_ADD) {
        errno = refusal;
        return -1;
    }
    return static_cast<int>(
        ::syscall(SYS_epoll_ctl, epoll, operation, fd, event));
}

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

class refused_descriptor_test : public testing::Test
{
protected:
    refused_descriptor_test()
        : acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
    {
    }
    ~refused_descriptor_test() override { refusal = 0; }

    /// Returns how a call to a server that answers nothing ends.
    std::optional<http_end> run(duration timeout)
    {
        auto const port = acceptor_.local_endpoint().port();
        std::optional<http_end> end;
        loop_.start(
            make_own_call(
                "http://127.0.0.1:" + std::to_string(port) + "/", timeout),
            [&](http_result result) { end = result.end; });
        context_.restart();
        while (!end && context_.run_one_for(2s) > 0)
            continue;
        return end;
    }

    asio::io_context context_{1};
    asio::ip::tcp::acceptor acceptor_;
    curl_loop loop_{context_};
};

TEST_F(refused_descriptor_test, call_whose_socket_is_refused_ends_as_not_sent)
{
    refusal = ENOSPC;
    EXPECT_EQ(run(1s), http_end::not_sent);
    EXPECT_EQ(loop_.running(), 0);
}

TEST_F(refused_descriptor_test, call_after_refused_one_is_sent)
{
    refusal = ENOSPC;
    EXPECT_EQ(run(1s), http_end::not_sent);
    refusal = 0;
    EXPECT_EQ(run(100ms), http_end::timed_out);
}

} // namespace
} // namespace pomelohinge
