#include "servers/dispatch/waiting_line.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pomelohinge {
namespace {

/// Time over which served shares are counted.
constexpr double memory_seconds = 5;

/// A priority whose served share is below this part of the whole's goes
/// first.
constexpr double least_relative_share = 0.4;

/// Requests of a priority before its share says anything.
constexpr double enough_asked = 5;

} // namespace

bool waiting_line::remove(ticket id)
{
    return std::erase_if(
               entries_, [&](auto const& it) { return it.id == id; }) > 0;
}

std::vector<waiting_line::entry> waiting_line::ordered(time_point now) const
{
    auto order = entries_;
    auto const first = starved(now);
    auto const key = [&](entry const& it) {
        return std::tuple(
            !(first && it.priority == *first), it.priority, it.since, it.id);
    };
    std::sort(
        order.begin(), order.end(), [&](auto const& left, auto const& right) {
            return key(left) < key(right);
        });
    return order;
}

std::vector<waiting_line::entry> waiting_line::take_late(time_point now)
{
    auto const late = std::stable_partition(entries_.begin(), entries_.end(),
        [&](auto const& it) { return it.start_by > now; });
    std::vector<entry> taken(late, entries_.end());
    entries_.erase(late, entries_.end());
    return taken;
}

std::size_t waiting_line::ahead_of(std::int64_t priority) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
            [&](auto const& it) { return it.priority <= priority; }));
}

void waiting_line::fade(faded& it, time_point now)
{
    auto const kept = std::exp(-to_seconds(now - it.at) / memory_seconds);
    it.asked *= kept;
    it.started *= kept;
    it.at = now;
}

void waiting_line::note_asked(std::int64_t priority, time_point now)
{
    auto& it = shares_[priority];
    fade(it, now);
    it.asked += 1;
}

void waiting_line::note_started(std::int64_t priority, time_point now)
{
    auto& it = shares_[priority];
    fade(it, now);
    it.started += 1;
}

std::optional<std::int64_t> waiting_line::starved(time_point now) const
{
    double asked = 0;
    double started = 0;
    auto shares = shares_;
    for (auto& [priority, it] : shares) {
        fade(it, now);
        asked += it.asked;
        started += it.started;
    }
    if (asked < enough_asked)
        return std::nullopt;
    auto const whole = started / asked;
    for (auto const& [priority, it] : shares)
        if (it.asked >= enough_asked &&
            it.started / it.asked < whole * least_relative_share)
            return priority;
    return std::nullopt;
}

} // namespace pomelohinge
