#include "servers/selection/connection_reuse.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Weight of one request in the moving averages.
constexpr double loss_rate_weight = 0.05;

/// Reused connections are lost more often than new ones if their share exceeds
/// this multiple of that of new ones by more than `min_excess_rate`.
constexpr double excess_factor = 2;
constexpr double min_excess_rate = 0.02;

/// How long a loss limits the idle time.
constexpr duration limit_period = std::chrono::seconds(15);

void add(double& rate, bool lost)
{
    rate += ((lost ? 1.0 : 0.0) - rate) * loss_rate_weight;
}

} // namespace

void connection_reuse::record_new(bool lost)
{
    add(new_loss_rate_, lost);
}

bool connection_reuse::record_reused(bool lost, duration idle, time_point now)
{
    add(reused_loss_rate_, lost);
    if (!lost ||
        reused_loss_rate_ < new_loss_rate_ * excess_factor + min_excess_rate)
        return false;
    max_idle_ = std::min(max_idle(now), idle / 2);
    limited_until_ = now + limit_period;
    return true;
}

} // namespace pomelohinge
