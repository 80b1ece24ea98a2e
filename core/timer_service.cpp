#include "core/timer_service.hpp"

namespace pomelohinge {

timer_service::subscription timer_service::add(
    time_point due, duration period, callback run)
{
    auto const id = ++last_id_;
    auto const position = queue_.emplace(due, id);
    entries_.emplace(id,
        entry{period, std::make_shared<callback>(std::move(run)), position});
    return {*this, id};
}

void timer_service::remove(std::uint64_t id)
{
    auto const it = entries_.find(id);
    if (it == entries_.end())
        return;
    queue_.erase(it->second.position);
    entries_.erase(it);
}

void timer_service::run_due(time_point now)
{
    while (!queue_.empty() && queue_.begin()->first <= now) {
        auto const id = queue_.begin()->second;
        auto& due = entries_.at(id);
        // The callback may cancel its own subscription while it runs.
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
