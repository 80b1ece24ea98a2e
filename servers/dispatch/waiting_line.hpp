#ifndef POMELOHINGE_SERVERS_DISPATCH_WAITING_LINE_HPP
#define POMELOHINGE_SERVERS_DISPATCH_WAITING_LINE_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pomelohinge {

/// Numbers a request that waits for a target.
using ticket = std::uint64_t;

/// The order in which requests that wait for one service get targets. The
/// most urgent priority goes first, and the one that has waited longest
/// within it; a priority that was served far less often than the whole goes
/// before all others, so that overload does not shut it out.
class waiting_line
{
public:
    struct entry
    {
        ticket id = 0;
        std::int64_t priority = 0;
        time_point since{};
        /// A start later than this is of no use.
        time_point start_by{};
    };

    void add(entry const& it) { entries_.push_back(it); }
    bool remove(ticket id);

    /// Requests in the order in which they are to be tried.
    std::vector<entry> ordered(time_point now) const;

    /// Takes out those whose start is of no use any more.
    std::vector<entry> take_late(time_point now);

    /// How many would go before a new request of that priority.
    std::size_t ahead_of(std::int64_t priority) const;

    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    // What became of requests, for the share of each priority.
    void note_asked(std::int64_t priority, time_point now);
    void note_started(std::int64_t priority, time_point now);

private:
    /// Counts that fade with time.
    struct faded
    {
        double asked = 0;
        double started = 0;
        time_point at{};
    };

    static void fade(faded& it, time_point now);
    std::optional<std::int64_t> starved(time_point now) const;

    std::vector<entry> entries_;
    std::map<std::int64_t, faded> shares_;
};

} // namespace pomelohinge

#endif
