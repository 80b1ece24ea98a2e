#include "main/uncaught_exceptions.hpp"

#include "core/log.hpp"
#include "core/thread_role.hpp"

#include <atomic>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <new>
#include <string>
#include <unistd.h>
#include <utility>

namespace pomelohinge {
namespace {

/// How long the end waits for the reader of standard output.
constexpr auto log_limit = std::chrono::milliseconds(500);

/// SIGALRM ends the process after this time, in seconds, if the failed thread
/// holds a lock that the log needs.
constexpr unsigned end_limit_s = 2;

/// Freed when memory is exhausted, so that the end can be logged.
constexpr std::size_t memory_reserve_bytes = 1 << 20;
std::unique_ptr<char[]> memory_reserve;

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

[[noreturn]] void end_process(std::string const& detail)
{
    static std::atomic<bool> ending{false};
    // Another thread already ends the process.
    while (ending.exchange(true))
        ::pause();
    ::alarm(end_limit_s);
    auto const thread = to_name(current_thread_role());
    log(log_event::exception_uncaught,
        {{"thread", thread}, {"detail", detail}});
    shutdown_log(log_limit);
    std::cerr << "uncaught exception, thread " << thread << ": " << detail
              << std::endl;
    std::_Exit(uncaught_exception_status);
}

[[noreturn]] void end_on_terminate()
{
    end_process(describe_exception());
}

/// Libraries catch `std::bad_alloc`: RESTinio takes one from the body of a
/// request for a parse error. A VM without memory then runs on, but cannot
/// read the store.
void end_without_memory()
{
    thread_local bool is_ending = false;
    if (std::exchange(is_ending, true))
        std::_Exit(uncaught_exception_status);
    memory_reserve.reset();
    end_process(std::bad_alloc().what());
}

} // namespace

void end_on_uncaught_exceptions()
{
    memory_reserve = std::make_unique<char[]>(memory_reserve_bytes);
    std::set_terminate(end_on_terminate);
    std::set_new_handler(end_without_memory);
}

} // namespace pomelohinge
