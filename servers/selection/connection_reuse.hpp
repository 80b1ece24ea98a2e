#ifndef POMELOHINGE_SERVERS_SELECTION_CONNECTION_REUSE_HPP
#define POMELOHINGE_SERVERS_SELECTION_CONNECTION_REUSE_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// Decides after which idle time connections to targets are still reused.
/// Targets may close idle connections earlier than they state, and a request
/// that is sent on such a connection is lost. Losses of reused connections
/// limit the idle time, unless requests on new connections are lost about as
/// often: then the targets fail, and new connections do not help.
class connection_reuse
{
public:
    /// Records the end of the first request on a connection; `lost` is whether
    /// the connection ended without an answer.
    void record_new(bool lost);

    /// Records the end of a request on a connection that had been idle for
    /// `idle` before. Returns whether it was lost and the target has probably
    /// closed the connection while it was idle.
    bool record_reused(bool lost, duration idle, time_point now);

    /// Longest idle time after which a connection is reused at `now`;
    /// `duration::max()` if there is no limit.
    duration max_idle(time_point now) const
    {
        return now < limited_until_ ? max_idle_ : duration::max();
    }

private:
    /// Moving averages of the share of requests that were lost.
    double new_loss_rate_ = 0;
    double reused_loss_rate_ = 0;
    /// In force until `limited_until_`.
    duration max_idle_ = duration::max();
    time_point limited_until_{};
};

} // namespace pomelohinge

#endif
