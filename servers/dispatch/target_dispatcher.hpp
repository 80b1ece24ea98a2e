#ifndef POMELOHINGE_SERVERS_DISPATCH_TARGET_DISPATCHER_HPP
#define POMELOHINGE_SERVERS_DISPATCH_TARGET_DISPATCHER_HPP

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "core/name_table.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace pomelohinge {

/// Names one dispatched request on its traffic thread.
using ticket = std::uint64_t;

/// What the dispatcher decided on a request.
enum class dispatch_verdict {
    run,
    queued,
    /// Neither slot nor room in the queue.
    full,
    /// The deadline cannot be met any more.
    too_late,
    /// The target takes no new work.
    closed,
};

template <>
inline constexpr auto
    name_table<dispatch_verdict> = make_name_table<dispatch_verdict>({
        {dispatch_verdict::run, "run"},
        {dispatch_verdict::queued, "queued"},
        {dispatch_verdict::full, "full"},
        {dispatch_verdict::too_late, "too_late"},
        {dispatch_verdict::closed, "closed"},
    });
static_assert(is_ordered<dispatch_verdict>());

/// What a step changed: tickets that start now and tickets that were
/// dropped from the queue and have not run.
struct dispatch_step
{
    std::vector<ticket> start;
    std::vector<ticket> dropped;
};

/// Gives the slots of one target to requests: exactly so many at a time as
/// the limit says, the rest in a short queue with fair turns among
/// organisations. It lives on one traffic thread of the target's owner.
class target_dispatcher
{
public:
    explicit target_dispatcher(std::size_t slots);

    /// Asks for a slot. With `queued`, a later step names the ticket. A full
    /// queue makes room by dropping the newest of the organisation that
    /// holds most of it, if that is more than the asking one would hold.
    dispatch_verdict submit(ticket id, organisation_id const& organisation,
        time_point deadline, time_point now, dispatch_step& step);

    /// Returns the slot of a running ticket.
    dispatch_step finish(ticket id, time_point now);

    /// Drops a waiting ticket whose caller is gone. Returns whether it was
    /// waiting.
    bool cancel(ticket id);

    /// Drops the tickets whose deadline has come.
    dispatch_step expire(time_point now);

    /// Changes how many run at the same time, 0 to the target's slots. What
    /// runs goes on; with 0 the queue is dropped.
    dispatch_step set_limit(std::size_t limit, time_point now);

    /// Changes the target's slots.
    void set_slots(std::size_t slots) { slots_ = slots; }

    std::size_t limit() const { return limit_; }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_; }

    /// Work per slot: 1 is full, above 1 work waits, a closed target counts
    /// as very loaded.
    double load() const;

private:
    struct waiter
    {
        ticket id;
        time_point deadline;
    };

    struct turn_queue
    {
        organisation_id organisation;
        std::deque<waiter> waiters;
    };

    turn_queue& queue_of(organisation_id const& organisation);
    turn_queue* longest_queue();
    bool make_room(organisation_id const& organisation, dispatch_step& step);
    void start(ticket id);
    void start_waiting(time_point now, dispatch_step& step);
    void drop_empty_queues();
    std::size_t queue_limit() const;

    std::size_t slots_;
    std::size_t limit_ = 0;
    absl::flat_hash_set<ticket> running_;
    /// Front is the next organisation to get a turn.
    std::list<turn_queue> turns_;
    std::size_t waiting_ = 0;
};

} // namespace pomelohinge

#endif
