#include "servers/queueing/wait_estimate.hpp"

#include <cmath>

namespace pomelohinge {
namespace {

/// Number of expected slots from which on the normal distribution replaces the
/// sum of Poisson terms, whose cost grows with the queue.
constexpr double min_normal_mean = 30;

/// Returned if no slots come free.
constexpr duration long_wait = std::chrono::hours(1);

} // namespace

double wait_estimate::chance_within(duration wait) const
{
    if (wait <= duration::zero() || slots_per_second <= 0)
        return 0;
    auto const mean = slots_per_second * to_seconds(wait);
    auto const needed = static_cast<double>(ahead + 1);
    if (mean > min_normal_mean)
        return 0.5 * std::erfc((needed - 0.5 - mean) / std::sqrt(2 * mean));
    double term = std::exp(-mean);
    double fewer = 0;
    for (std::size_t it = 0; it <= ahead; ++it) {
        fewer += term;
        term *= mean / static_cast<double>(it + 1);
        if (static_cast<double>(it) > mean && term < 1e-9)
            break;
    }
    return fewer < 1 ? 1 - fewer : 0;
}

duration wait_estimate::expected() const
{
    if (slots_per_second <= 0)
        return long_wait;
    return std::min<duration>(long_wait,
        from_seconds(static_cast<double>(ahead + 1) / slots_per_second));
}

} // namespace pomelohinge
