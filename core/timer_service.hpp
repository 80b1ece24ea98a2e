#ifndef POMELOHINGE_CORE_TIMER_SERVICE_HPP
#define POMELOHINGE_CORE_TIMER_SERVICE_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace pomelohinge {

/// The timers of one thread. The event loop of the thread waits until
/// `next_due` and calls `run_due`. Not thread-safe.
class timer_service
{
public:
    using callback = std::function<void()>;

    /// Owns one timer and cancels it on destruction. A subscription that is not
    /// cancelled must not outlive the service.
    class subscription
    {
    public:
        subscription() = default;
        subscription(subscription&& other) noexcept
            : service_(std::exchange(other.service_, nullptr)), id_(other.id_)
        {
        }
        subscription& operator=(subscription&& other) noexcept
        {
            cancel();
            service_ = std::exchange(other.service_, nullptr);
            id_ = other.id_;
            return *this;
        }
        ~subscription() { cancel(); }

        /// Cancels the timer. Has no effect after the first call.
        void cancel()
        {
            if (auto* const service = std::exchange(service_, nullptr))
                service->remove(id_);
        }

    private:
        friend class timer_service;
        subscription(timer_service& service, std::uint64_t id)
            : service_(&service), id_(id)
        {
        }

        timer_service* service_ = nullptr;
        std::uint64_t id_ = 0;
    };

    /// Calls `run` once, at `now + delay`.
    [[nodiscard]] subscription once(
        time_point now, duration delay, callback run)
    {
        return add(now + delay, duration::zero(), std::move(run));
    }

    /// Calls `run` every `period`, the first time at `now + period`. If several
    /// periods have passed since the last call, as after a pause of the
    /// process, `run` is called only once.
    [[nodiscard]] subscription every(
        time_point now, duration period, callback run)
    {
        return add(now + period, period, std::move(run));
    }

    /// When the next timer is due; empty if there is none.
    std::optional<time_point> next_due() const
    {
        if (queue_.empty())
            return std::nullopt;
        return queue_.begin()->first;
    }

    /// Calls the callbacks of all timers that are due at `now`, in order of
    /// their due times. Callbacks may add and cancel timers.
    void run_due(time_point now);

private:
    struct timer
    {
        /// Zero for a timer that runs once.
        duration period;
        std::shared_ptr<callback> run;
        std::multimap<time_point, std::uint64_t>::iterator position;
    };

    subscription add(time_point due, duration period, callback run);
    void remove(std::uint64_t id);

    std::uint64_t last_id_ = 0;
    /// Ids of timers by due time.
    std::multimap<time_point, std::uint64_t> queue_;
    std::unordered_map<std::uint64_t, timer> timers_;
};

} // namespace pomelohinge

#endif
