#include "core/timer_service.hpp"

namespace pomelohinge {

timer_service::subscription timer_service::add(
    time_point due, duration period, callback run)
{
    auto const id = ++last_id_;
    auto const position = queue_.emplace(due, id);
    timers_.emplace(id,
        timer{period, std::make_shared<callback>(std::move(run)), position});
    return {*this, id};
}

void timer_service::remove(std::uint64_t id)
{
    auto const it = timers_.find(id);
    if (it == timers_.end())
        return;
    queue_.erase(it->second.position);
    timers_.erase(it);
}

void timer_service::run_due(time_point now)
{
    while (!queue_.empty() && queue_.begin()->first <= now) {
        auto const id = queue_.begin()->second;
        auto& due = timers_.at(id);
        // Copied, because the callback may cancel its own timer while it runs.
        auto const run = due.run;
        if (due.period == duration::zero()) {
            remove(id);
        } else {
            queue_.erase(due.position);
            due.position = queue_.emplace(now + due.period, id);
        }
        (*run)();
    }
}

} // namespace pomelohinge
