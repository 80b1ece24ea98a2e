#ifndef POMELOHINGE_SERVERS_EXCHANGE_DECAYING_COUNT_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_DECAYING_COUNT_HPP

#include "servers/exchange/grant_counts.hpp"

#include <algorithm>

namespace pomelohinge {

/// Number of requests that a source reports as granted within the sliding
/// window. A restarted process or a newly chosen hub reports fewer grants than
/// were made, so a sudden drop is ignored and the last accepted count decays
/// linearly over the window instead.
class decaying_count
{
public:
    void report(double count, time_point now)
    {
        if (count < at(now) * min_plausible_fraction)
            return;
        count_ = count;
        reported_at_ = now;
    }

    /// The count at `now`, decayed since the last accepted report.
    double at(time_point now) const
    {
        auto const elapsed_fraction =
            to_seconds(now - reported_at_) / to_seconds(limit_window);
        return count_ * std::max(1 - elapsed_fraction, 0.0);
    }

private:
    /// Reports below this fraction of the current count are ignored. Reports
    /// arrive many times per window, so the count of a source that keeps
    /// running loses less than this between two of them.
    static constexpr double min_plausible_fraction = 0.5;

    double count_ = 0;
    time_point reported_at_{};
};

} // namespace pomelohinge

#endif
