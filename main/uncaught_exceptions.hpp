#ifndef POMELOHINGE_MAIN_UNCAUGHT_EXCEPTIONS_HPP
#define POMELOHINGE_MAIN_UNCAUGHT_EXCEPTIONS_HPP

namespace pomelohinge {

/// Exit status of a process that ends by an exception that nothing has caught.
inline constexpr int uncaught_exception_status = 4;

/// From now on, an exception that leaves any thread, one of a library's
/// included, or a `noexcept` function is logged, and the process ends with
/// `uncaught_exception_status`. The thread's state cannot be relied on, so
/// nothing else runs: neither destructors nor the steps of a planned stop. The
/// same holds for memory that cannot be allocated, whether or not the exception
/// would be caught.
void end_on_uncaught_exceptions();

} // namespace pomelohinge

#endif
