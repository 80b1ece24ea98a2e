#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_TIMES_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_TIMES_HPP

#include "servers/requests/request.hpp"

#include <algorithm>
#include <optional>

namespace pomelohinge {

/// Part of the time limit that is reserved for returning the answer to the
/// caller.
inline constexpr duration answer_reserve = std::chrono::milliseconds(15);

/// Maximum wait for a token of the organisation's rate. The wait evens out
/// short-term differences between VMs, which count grants separately.
inline constexpr duration max_charge_wait = std::chrono::milliseconds(150);

/// Delay until a reroute that was not possible is considered again.
inline constexpr duration reroute_retry_delay = std::chrono::milliseconds(100);

/// Delays after which an unanswered attempt counts as late, as a failure of its
/// target, and is sent to another target if it may be, all from the service's
/// median latency.
struct attempt_delays
{
    duration late{};
    duration overdue{};
    duration reroute{};

    explicit attempt_delays(duration median)
        : late(median * late_factor), overdue(median * overdue_factor),
          reroute(
              std::max<duration>(median * reroute_factor, min_reroute_delay))
    {
    }

private:
    static constexpr int late_factor = 3;
    static constexpr int overdue_factor = 7;
    static constexpr int reroute_factor = 5;
    static constexpr duration min_reroute_delay =
        std::chrono::milliseconds(400);
};

/// The times that bound a request.
struct request_times
{
    time_point received_at{};
    /// When the caller, or the route, gives the request up.
    time_point deadline{};
    /// Time for the whole request, and for an answer of full use.
    duration limit{};
    duration goal{};

    request_times() = default;
    request_times(admitted_request const& admitted, time_point received)
        : received_at(received), deadline(received + admitted.time_limit),
          limit(admitted.time_limit),
          goal(admitted.goal > duration::zero()
                  ? std::min(admitted.goal, admitted.time_limit)
                  : admitted.time_limit)
    {
    }

    /// Time by which the request has very likely ended if it is sent at `now`
    /// and hardly any takes longer than `likely_limit`; its deadline if that is
    /// unknown.
    time_point likely_end(
        std::optional<duration> likely_limit, time_point now) const
    {
        return likely_limit ? std::min(deadline, now + *likely_limit)
                            : deadline;
    }

    /// Latest time to send the request, so that enough time is left for an
    /// answer that takes `median`. It depends on the latency goal if the route
    /// has one, and on the time limit otherwise.
    time_point start_deadline(duration median) const
    {
        auto const wait = std::max<duration>(goal - median, goal / 4);
        return std::min(received_at + wait,
            deadline - std::min<duration>(median, limit / 2));
    }
};

} // namespace pomelohinge

#endif
