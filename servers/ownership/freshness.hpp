#ifndef POMELOHINGE_SERVERS_OWNERSHIP_FRESHNESS_HPP
#define POMELOHINGE_SERVERS_OWNERSHIP_FRESHNESS_HPP

#include "servers/ownership/ownership.hpp"

#include <cstdint>

namespace pomelohinge {

/// What a watcher says of the majority of the fleet when the store is away.
struct hold_evidence
{
    /// Digest of the view that the majority holds.
    std::uint64_t view_digest = 0;
    /// Age of the oldest report that the majority rests on.
    duration age = duration::max();
};

/// The freshness lease of one VM: until when it may act as owner. It rests
/// on a read of the store, or, while the store is away, on a majority of the
/// view that cannot reach the store either and holds the same view: then no
/// other VM can have taken over, as docs/DESIGN.md shows.
class freshness
{
public:
    /// Notes that the store was read at `read_at` and showed nothing newer
    /// than the view held.
    void confirm(time_point read_at);

    /// Notes what the majority of the fleet holds, received at `now`.
    void hold(hold_evidence const& evidence, std::uint64_t view_digest,
        time_point now);

    /// When the lease ends.
    time_point lease_end() const;

    /// When the store was last read; the earliest time if never.
    time_point last_read() const { return read_at_; }

    bool may_act(time_point now) const { return now < lease_end(); }

private:
    time_point read_at_{};
    time_point held_at_{};
};

} // namespace pomelohinge

#endif
