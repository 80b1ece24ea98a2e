#ifndef POMELOHINGE_SERVERS_EXCHANGE_DECAYING_COUNT_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_DECAYING_COUNT_HPP

#include "servers/exchange/grant_counts.hpp"

#include <algorithm>

namespace pomelohinge {

/// What somebody reports to have let through within the window. A process
/// that starts anew, or a hub that has just become one, reports less than was
/// let through; so a count that drops at once falls as the window passes.
class decaying_count
{
public:
    void report(double count, time_point now)
    {
        if (count < at(now) * sudden_drop)
            return;
        count_ = count;
        reported_at_ = now;
    }

    double at(time_point now) const
    {
        auto const passed =
            to_seconds(now - reported_at_) / to_seconds(limit_window);
        return count_ * std::max(1 - passed, 0.0);
    }

private:
    /// Reports follow each other within a small part of the window, in which
    /// a count that goes on loses less than this part of itself.
    static constexpr double sudden_drop = 0.5;

    double count_ = 0;
    time_point reported_at_{};
};

} // namespace pomelohinge

#endif
