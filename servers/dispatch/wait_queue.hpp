#ifndef POMELOHINGE_SERVERS_DISPATCH_WAIT_QUEUE_HPP
#define POMELOHINGE_SERVERS_DISPATCH_WAIT_QUEUE_HPP

#include "core/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pomelohinge {

/// Identifies a queued request; 0 is none.
using ticket = std::uint64_t;

/// The queue of requests that wait for a target of one service. They are
/// ordered by priority, the most urgent first, and by age within a priority. A
/// priority whose share of started requests is far below the overall share goes
/// before all others, so that it is not starved under overload.
class wait_queue
{
public:
    struct entry
    {
        ticket id = 0;
        std::int64_t priority = 0;
        time_point queued_at{};
        /// Time until which the request may be sent.
        time_point start_deadline{};
        /// Latest start for an answer within the goal, and the expected time
        /// for which the request holds a slot.
        time_point goal_start{};
        duration holding{};
    };

    void add(entry const& it) { entries_.push_back(it); }

    /// Removes a request; returns whether it was queued.
    bool remove(ticket id);

    /// Returns the requests in the order in which they get targets.
    std::vector<entry> ordered(time_point now) const;

    /// Returns the requests ordered by `key`.
    template <class Key>
    std::vector<entry> ordered_by(Key const& key) const
    {
        auto order = entries_;
        std::sort(order.begin(), order.end(),
            [&](auto const& left, auto const& right) {
                return key(left) < key(right);
            });
        return order;
    }

    std::vector<entry> const& entries() const { return entries_; }

    /// Removes and returns the requests whose start deadline has passed.
    std::vector<entry> take_expired(time_point now);

    /// Number of requests that go before a new one of this priority.
    std::size_t count_ahead_of(std::int64_t priority) const;

    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    // Record arrivals and starts, from which the share of started requests is
    // computed for each priority.
    void add_arrival(std::int64_t priority, time_point now);
    void add_start(std::int64_t priority, time_point now);

    /// The priority that is starved, if any.
    std::optional<std::int64_t> starved(time_point now) const;

private:
    /// Counts with exponential decay, as of the time `at`.
    struct decaying_counts
    {
        double arrivals = 0;
        double starts = 0;
        time_point at{};
    };

    static void decay(decaying_counts& it, time_point now);

    std::vector<entry> entries_;
    std::map<std::int64_t, decaying_counts> counts_;
};

} // namespace pomelohinge

#endif
