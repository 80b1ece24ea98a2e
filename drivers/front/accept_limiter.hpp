#ifndef POMELOHINGE_DRIVERS_FRONT_ACCEPT_LIMITER_HPP
#define POMELOHINGE_DRIVERS_FRONT_ACCEPT_LIMITER_HPP

#include "drivers/front/front_socket.hpp"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <restinio/all.hpp>
#include <utility>

namespace pomelohinge {

/// The callers' connections of one server and its loop of accepts.
class accept_control
{
public:
    using acceptor =
        restinio::connection_count_limits::impl::acceptor_callback_iface_t;

    /// Connections above this number wait in the queue of the kernel.
    void set_max_connections(std::size_t n) { max_connections_ = n; }

    std::size_t connections() const { return connections_; }
    bool is_at_limit() const { return connections_ >= max_connections_; }

    /// The number of connections accepted so far.
    std::size_t accepted() const { return accepted_; }

    /// `callback` is called after each accepted connection.
    void on_accepted(std::function<void()> callback)
    {
        on_accepted_ = std::move(callback);
    }

    /// Starts to accept again after an error, at which RESTinio stops.
    void restart()
    {
        if (acceptor_ != nullptr && !is_paused_)
            acceptor_->schedule_next_accept_attempt(socket_);
    }

    // Used by RESTinio.

    void set_acceptor(acceptor* it) { acceptor_ = it; }

    void accept_next(std::size_t socket)
    {
        if (on_accepted_)
            on_accepted_();
        socket_ = socket;
        is_paused_ = is_at_limit();
        if (!is_paused_)
            acceptor_->call_accept_now(socket);
    }

    void add_connection()
    {
        ++connections_;
        ++accepted_;
    }

    void remove_connection()
    {
        --connections_;
        if (acceptor_ != nullptr && !is_at_limit() &&
            std::exchange(is_paused_, false))
            acceptor_->schedule_next_accept_attempt(socket_);
    }

private:
    acceptor* acceptor_ = nullptr;
    std::function<void()> on_accepted_;
    std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
    std::size_t connections_ = 0;
    std::size_t accepted_ = 0;
    std::size_t socket_ = 0;
    bool is_paused_ = false;
};

/// RESTinio's hook at its loop of accepts. The control of the server that is
/// being created is passed by `current()`, since RESTinio passes nothing on.
class accept_limiter
{
public:
    accept_limiter(
        restinio::not_null_pointer_t<accept_control::acceptor> acceptor,
        restinio::connection_count_limits::max_parallel_connections_t,
        restinio::connection_count_limits::max_active_accepts_t)
        : control_(current())
    {
        control_->set_acceptor(acceptor);
    }
    ~accept_limiter() { control_->set_acceptor(nullptr); }
    accept_limiter(accept_limiter const&) = delete;
    accept_limiter& operator=(accept_limiter const&) = delete;

    void accept_next(std::size_t socket) noexcept
    {
        control_->accept_next(socket);
    }

    std::shared_ptr<accept_control> const& control() const { return control_; }

    static std::shared_ptr<accept_control>& current()
    {
        thread_local std::shared_ptr<accept_control> control;
        return control;
    }

private:
    std::shared_ptr<accept_control> control_;
};

/// Counts a connection while it exists.
class connection_count
{
public:
    explicit connection_count(
        restinio::not_null_pointer_t<accept_limiter> limiter)
        : control_(limiter->control())
    {
        control_->add_connection();
    }
    ~connection_count()
    {
        if (control_ != nullptr)
            control_->remove_connection();
    }
    connection_count(connection_count&& other) noexcept = default;
    connection_count& operator=(connection_count&&) = delete;

private:
    std::shared_ptr<accept_control> control_;
};

struct front_traits : restinio::default_single_thread_traits_t
{
    using stream_socket_t = front_socket;
};

} // namespace pomelohinge

template <>
struct restinio::connection_count_limit_types<pomelohinge::front_traits>
{
    using limiter_t = pomelohinge::accept_limiter;
    using lifetime_monitor_t = pomelohinge::connection_count;
};

#endif
