#include "servers/dispatch/wait_queue.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pomelohinge {
namespace {

/// Time constant of the exponential decay of arrivals and starts, in seconds.
constexpr double decay_seconds = 5;

/// A priority whose share of started requests is below this fraction of the
/// overall share is starved.
constexpr double starvation_threshold = 0.4;

/// Number of decayed arrivals below which a share is not meaningful.
constexpr double min_arrivals = 5;

} // namespace

bool wait_queue::remove(ticket id)
{
    return std::erase_if(
               entries_, [&](auto const& it) { return it.id == id; }) > 0;
}

std::vector<wait_queue::entry> wait_queue::ordered(time_point now) const
{
    auto const starved_priority = starved(now);
    return ordered_by([&](entry const& it) {
        return std::tuple(
            !(starved_priority && it.priority == *starved_priority),
            it.priority, it.queued_at, it.id);
    });
}

std::vector<wait_queue::entry> wait_queue::take_expired(time_point now)
{
    auto const expired = std::stable_partition(entries_.begin(), entries_.end(),
        [&](auto const& it) { return it.start_deadline > now; });
    std::vector<entry> taken(expired, entries_.end());
    entries_.erase(expired, entries_.end());
    return taken;
}

std::size_t wait_queue::count_ahead_of(std::int64_t priority) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
            [&](auto const& it) { return it.priority <= priority; }));
}

void wait_queue::decay(decaying_counts& it, time_point now)
{
    auto const factor = std::exp(-to_seconds(now - it.at) / decay_seconds);
    it.arrivals *= factor;
    it.starts *= factor;
    it.at = now;
}

void wait_queue::add_arrival(std::int64_t priority, time_point now)
{
    auto& it = counts_[priority];
    decay(it, now);
    it.arrivals += 1;
}

void wait_queue::add_start(std::int64_t priority, time_point now)
{
    auto& it = counts_[priority];
    decay(it, now);
    it.starts += 1;
}

std::optional<std::int64_t> wait_queue::starved(time_point now) const
{
    double arrivals = 0;
    double starts = 0;
    auto counts = counts_;
    for (auto& [priority, it] : counts) {
        decay(it, now);
        arrivals += it.arrivals;
        starts += it.starts;
    }
    if (arrivals < min_arrivals)
        return std::nullopt;
    auto const overall = starts / arrivals;
    for (auto const& [priority, it] : counts)
        if (it.arrivals >= min_arrivals &&
            it.starts / it.arrivals < overall * starvation_threshold)
            return priority;
    return std::nullopt;
}

} // namespace pomelohinge
