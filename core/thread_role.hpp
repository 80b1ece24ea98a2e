#ifndef POMELOHINGE_CORE_THREAD_ROLE_HPP
#define POMELOHINGE_CORE_THREAD_ROLE_HPP

#include "core/name_table.hpp"

namespace pomelohinge {

/// What a thread of a daemon does. Threads that a library has started keep
/// `library`.
enum class thread_role { library, control, traffic, log, stop_step };

template <>
inline constexpr auto name_table<thread_role> = make_name_table<thread_role>({
    {thread_role::library, "library"},
    {thread_role::control, "control"},
    {thread_role::traffic, "traffic"},
    {thread_role::log, "log"},
    {thread_role::stop_step, "stop_step"},
});
static_assert(is_ordered<thread_role>());

namespace detail {

inline thread_local auto this_thread_role = thread_role::library;

} // namespace detail

/// Sets the role of the calling thread.
inline void set_thread_role(thread_role role)
{
    detail::this_thread_role = role;
}

/// The role of the calling thread.
inline thread_role current_thread_role()
{
    return detail::this_thread_role;
}

} // namespace pomelohinge

#endif
