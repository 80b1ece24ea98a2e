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

/// Keeps the timers of one thread. Parts subscribe; the owner of the thread
/// waits until `next_due` and calls `run_due`. Not safe across threads.
class timer_service
{
public:
    using callback = std::function<void()>;

    /// Ends its subscription when it is destroyed. It must not outlive the
    /// service.
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

        void cancel()
        {
            if (auto* const it = std::exchange(service_, nullptr))
                it->remove(id_);
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

    /// Calls `run` once, `after` from `now`.
    [[nodiscard]] subscription once(
        time_point now, duration after, callback run)
    {
        return add(now + after, duration::zero(), std::move(run));
    }

    /// Calls `run` every `period`, first one period from `now`. Periods that
    /// passed unseen, as in a paused process, are not made up for.
    [[nodiscard]] subscription every(
        time_point now, duration period, callback run)
    {
        return add(now + period, period, std::move(run));
    }

    /// When `run_due` has work again; empty without subscriptions.
    std::optional<time_point> next_due() const
    {
        if (queue_.empty())
            return std::nullopt;
        return queue_.begin()->first;
    }

    /// Runs each timer that is due at `now`.
    void run_due(time_point now);

private:
    struct entry
    {
        duration period;
        std::shared_ptr<callback> run;
        std::multimap<time_point, std::uint64_t>::iterator position;
    };

    subscription add(time_point due, duration period, callback run);
    void remove(std::uint64_t id);

    std::uint64_t last_id_ = 0;
    std::multimap<time_point, std::uint64_t> queue_;
    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace pomelohinge

#endif
