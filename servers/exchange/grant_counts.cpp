#include "servers/exchange/grant_counts.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Relative error of counts by step: reports are made at irregular intervals.
constexpr double step_tolerance = 0.15;

/// A drop of the reported grants by fewer requests is ignored, because it is
/// too small to matter for any limit.
constexpr double min_loss = 3;

} // namespace

void grant_counts::add(grant_counts const& other)
{
    within_window += other.within_window;
    for (std::size_t n = 0; n < within_steps.size(); ++n)
        within_steps[n] += other.within_steps[n];
}

double grant_counts::granted_within(duration age) const
{
    auto const steps = to_seconds(age) / to_seconds(grant_step);
    if (steps <= 0)
        return 0;
    auto const n = static_cast<std::size_t>(steps);
    if (n > within_steps.size())
        return within_window;
    auto const count = [&](std::size_t it) {
        if (it == 0)
            return 0.0;
        return it <= within_steps.size() ? within_steps[it - 1] : within_window;
    };
    auto const fraction = steps - static_cast<double>(n);
    return count(n) + (count(n + 1) - count(n)) * fraction;
}

void grant_counts::advance(duration elapsed)
{
    auto const before = *this;
    within_window = before.granted_within(limit_window - elapsed);
    for (std::size_t n = 0; n < within_steps.size(); ++n)
        within_steps[n] = before.granted_within(
            static_cast<int>(n + 1) * grant_step - elapsed);
}

void grant_history::report(grant_counts const& counts, time_point now)
{
    bool const is_drop = counts.within_window <
        latest_.counts.within_window * (1 - step_tolerance) - min_loss;
    if (is_drop || latest_.at - kept_at_ >= grant_step)
        keep_latest();
    latest_ = {counts, now};
}

void grant_history::keep_latest()
{
    kept_at_ = latest_.at;
    earlier_[next_] = latest_;
    next_ = (next_ + 1) % earlier_.size();
}

double grant_history::at(time_point now) const
{
    auto const elapsed =
        to_seconds(now - latest_.at) / to_seconds(limit_window);
    auto const reported =
        latest_.counts.within_window * std::max(1 - elapsed, 0.0);
    double from_earlier = 0;
    for (auto const& it : earlier_)
        from_earlier = std::max(from_earlier, total_from(it, now));
    return from_earlier > reported * (1 + step_tolerance) + min_loss
        ? from_earlier
        : reported;
}

/// The part of an earlier report that is still within the window, plus the
/// grants made after that report.
double grant_history::total_from(entry const& earlier, time_point now) const
{
    auto const age = now - earlier.at;
    if (age >= limit_window)
        return 0;
    return earlier.counts.granted_within(limit_window - age) +
        latest_.counts.granted_within(latest_.at - earlier.at);
}

} // namespace pomelohinge
