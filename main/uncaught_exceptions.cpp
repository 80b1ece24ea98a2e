#include "main/uncaught_exceptions.hpp"

#include "core/log.hpp"
#include "core/thread_role.hpp"

#include <atomic>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <unistd.h>

namespace pomelohinge {
namespace {

/// How long the end waits for the reader of standard output.
constexpr auto log_limit = std::chrono::milliseconds(500);

/// SIGALRM ends the process after this time, in seconds, if the failed thread
/// holds a lock that the log needs.
constexpr unsigned end_limit_s = 2;

std::string describe_exception()
{
    auto const current = std::current_exception();
    if (current == nullptr)
        return "terminated without an exception";
    try {
        std::rethrow_exception(current);
    } catch (std::exception const& error) {
        return error.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

[[noreturn]] void end_process()
{
    static std::atomic<bool> ending{false};
    // Another thread already ends the process.
    while (ending.exchange(true))
        ::pause();
    ::alarm(end_limit_s);
    auto const detail = describe_exception();
    auto const thread = to_name(current_thread_role());
    log(log_event::exception_uncaught,
        {{"thread", thread}, {"detail", detail}});
    shutdown_log(log_limit);
    std::cerr << "uncaught exception, thread " << thread << ": " << detail
              << std::endl;
    std::_Exit(uncaught_exception_status);
}

} // namespace

void end_on_uncaught_exceptions()
{
    std::set_terminate(end_process);
}

} // namespace pomelohinge
