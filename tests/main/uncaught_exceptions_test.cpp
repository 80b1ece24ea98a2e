#include "main/uncaught_exceptions.hpp"

#include "core/log.hpp"
#include "core/thread_role.hpp"

#include <gtest/gtest.h>
#include <limits>
#include <new>
#include <stdexcept>
#include <thread>
#include <unistd.h>

// Exceptions that nothing catches. Without a last line of defence they ended
// the process by SIGABRT, and the last lines of the log, which are written in
// batches, were lost.

namespace pomelohinge {
namespace {

class uncaught_exceptions_test : public testing::Test
{
protected:
    void SetUp() override { GTEST_FLAG_SET(death_test_style, "threadsafe"); }

    /// Runs `work` on a thread of a process that logs to standard error, where
    /// death tests look for output.
    template <class Work>
    static void run_on_thread(Work work)
    {
        ::dup2(STDERR_FILENO, STDOUT_FILENO);
        log_settings settings;
        settings.format = log_format::json;
        configure_log(settings);
        end_on_uncaught_exceptions();
        log(log_event::stopping);
        std::thread(work).join();
    }

    static testing::ExitedWithCode ended()
    {
        return testing::ExitedWithCode(uncaught_exception_status);
    }
};

TEST_F(uncaught_exceptions_test, exception_of_thread_ends_process_with_status)
{
    EXPECT_EXIT(run_on_thread([] { throw std::runtime_error("no room"); }),
        ended(), "uncaught exception, thread library: no room");
}

TEST_F(uncaught_exceptions_test, exception_of_thread_is_logged_with_its_role)
{
    EXPECT_EXIT(run_on_thread([] {
        set_thread_role(thread_role::traffic);
        throw std::runtime_error("no room");
    }),
        ended(),
        "\"number\":111.*\"thread\":\"traffic\",\"detail\":\"no room\"");
}

TEST_F(uncaught_exceptions_test, exception_after_log_line_leaves_line_written)
{
    EXPECT_EXIT(run_on_thread([] { throw std::runtime_error("no room"); }),
        ended(), "\"event\":\"stopping\"");
}

TEST_F(uncaught_exceptions_test, exception_of_unknown_type_ends_process)
{
    EXPECT_EXIT(run_on_thread([] { throw 1; }), ended(), "unknown type");
}

/// A library caught the exception, and the VM ran on without memory.
TEST_F(uncaught_exceptions_test, exhausted_memory_ends_process_though_caught)
{
    EXPECT_EXIT(run_on_thread([] {
        set_thread_role(thread_role::traffic);
        constexpr auto bytes = std::numeric_limits<std::ptrdiff_t>::max() / 2;
        try {
            ::operator delete(::operator new(bytes));
        } catch (std::bad_alloc const&) {
        }
    }),
        ended(), "\"thread\":\"traffic\",\"detail\":\"std::bad_alloc\"");
}

TEST_F(uncaught_exceptions_test, exceptions_of_two_threads_end_process_once)
{
    EXPECT_EXIT(run_on_thread([] {
        std::thread const other([] { throw std::runtime_error("first"); });
        throw std::runtime_error("second");
    }),
        ended(), "\"number\":111");
}

} // namespace
} // namespace pomelohinge
