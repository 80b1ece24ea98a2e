#include "servers/dispatch/target_dispatcher.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Requests that may wait for each slot.
constexpr std::size_t waiters_per_slot = 4;

/// Load of a target that takes no work.
constexpr double closed_load = 1e6;

} // namespace

target_dispatcher::target_dispatcher(std::size_t slots) : slots_(slots) {}

std::size_t target_dispatcher::queue_limit() const
{
    return limit_ * waiters_per_slot;
}

double target_dispatcher::load() const
{
    if (limit_ == 0)
        return closed_load;
    return static_cast<double>(running_.size() + waiting_) /
        static_cast<double>(limit_);
}

target_dispatcher::turn_queue& target_dispatcher::queue_of(
    organisation_id const& organisation)
{
    auto const it = std::find_if(turns_.begin(), turns_.end(),
        [&](auto const& held) { return held.organisation == organisation; });
    if (it != turns_.end())
        return *it;
    return turns_.emplace_back(turn_queue{organisation, {}});
}

target_dispatcher::turn_queue* target_dispatcher::longest_queue()
{
    auto const it = std::max_element(
        turns_.begin(), turns_.end(), [](auto const& left, auto const& right) {
            return left.waiters.size() < right.waiters.size();
        });
    return it == turns_.end() ? nullptr : &*it;
}

bool target_dispatcher::make_room(
    organisation_id const& organisation, dispatch_step& step)
{
    if (waiting_ < queue_limit())
        return true;
    auto const mine = std::find_if(turns_.begin(), turns_.end(),
        [&](auto const& held) { return held.organisation == organisation; });
    auto const held = mine == turns_.end() ? 0 : mine->waiters.size();
    auto* const longest = longest_queue();
    if (longest == nullptr || longest->waiters.size() <= held + 1)
        return false;
    step.dropped.push_back(longest->waiters.back().id);
    longest->waiters.pop_back();
    --waiting_;
    return true;
}

void target_dispatcher::start(ticket id)
{
    running_.insert(id);
    assert_invariant(
        invariant::slots_never_exceeded, running_.size() <= slots_, "dispatch");
    assert_invariant(invariant::cold_limit_never_exceeded,
        running_.size() <= limit_, "dispatch");
}

dispatch_verdict target_dispatcher::submit(ticket id,
    organisation_id const& organisation, time_point deadline, time_point now,
    dispatch_step& step)
{
    if (limit_ == 0)
        return dispatch_verdict::closed;
    if (deadline <= now)
        return dispatch_verdict::too_late;
    if (running_.size() < limit_ && waiting_ == 0) {
        start(id);
        return dispatch_verdict::run;
    }
    if (!make_room(organisation, step))
        return dispatch_verdict::full;
    queue_of(organisation).waiters.push_back({id, deadline});
    ++waiting_;
    drop_empty_queues();
    return dispatch_verdict::queued;
}

void target_dispatcher::drop_empty_queues()
{
    turns_.remove_if([](auto const& it) { return it.waiters.empty(); });
}

void target_dispatcher::start_waiting(time_point now, dispatch_step& step)
{
    while (running_.size() < limit_ && !turns_.empty()) {
        auto& turn = turns_.front();
        auto const next = turn.waiters.front();
        turn.waiters.pop_front();
        --waiting_;
        if (turn.waiters.empty())
            turns_.pop_front();
        else
            turns_.splice(turns_.end(), turns_, turns_.begin());
        if (next.deadline <= now) {
            step.dropped.push_back(next.id);
            continue;
        }
        start(next.id);
        step.start.push_back(next.id);
    }
}

dispatch_step target_dispatcher::finish(ticket id, time_point now)
{
    dispatch_step step;
    running_.erase(id);
    start_waiting(now, step);
    return step;
}

bool target_dispatcher::cancel(ticket id)
{
    for (auto& turn : turns_) {
        auto const dropped = std::erase_if(
            turn.waiters, [&](auto const& it) { return it.id == id; });
        if (dropped == 0)
            continue;
        waiting_ -= dropped;
        drop_empty_queues();
        return true;
    }
    return false;
}

dispatch_step target_dispatcher::expire(time_point now)
{
    dispatch_step step;
    for (auto& turn : turns_)
        std::erase_if(turn.waiters, [&](auto const& it) {
            if (it.deadline > now)
                return false;
            step.dropped.push_back(it.id);
            --waiting_;
            return true;
        });
    drop_empty_queues();
    return step;
}

dispatch_step target_dispatcher::set_limit(std::size_t limit, time_point now)
{
    dispatch_step step;
    limit_ = std::min(limit, slots_);
    if (limit_ > 0) {
        start_waiting(now, step);
        return step;
    }
    for (auto const& turn : turns_)
        for (auto const& it : turn.waiters)
            step.dropped.push_back(it.id);
    turns_.clear();
    waiting_ = 0;
    return step;
}

} // namespace pomelohinge
