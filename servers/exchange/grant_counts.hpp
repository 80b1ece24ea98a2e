#ifndef POMELOHINGE_SERVERS_EXCHANGE_GRANT_COUNTS_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_GRANT_COUNTS_HPP

#include "core/clock.hpp"

#include <array>
#include <cstddef>

namespace pomelohinge {

/// The sliding window over which an organisation's rate and burst are limited.
inline constexpr duration limit_window = std::chrono::seconds(5);

/// Resolution of the age by which grants within the window are reported.
inline constexpr duration grant_step = std::chrono::seconds(1);

/// Requests granted within the sliding window, also by age in steps.
struct grant_counts
{
    double within_window = 0;
    /// Cumulative: position `n` counts the grants of the last `n + 1` steps.
    std::array<double, limit_window / grant_step - 1> within_steps{};

    void add(grant_counts const& other);

    /// Grants no older than `age`, interpolated linearly between the steps.
    double granted_within(duration age) const;

    /// Advances the window by `elapsed` without further grants.
    void advance(duration elapsed);

    friend bool operator==(grant_counts const&, grant_counts const&) = default;
};

/// Requests that other VMs report as granted. After a restart of a process or
/// a change of the hub, reports contain fewer grants than were made. Earlier
/// reports are therefore kept for one window. The grants made after an earlier
/// report are added to it, and the largest total counts.
class grant_history
{
public:
    void report(grant_counts const& counts, time_point now);

    /// Requests granted within the window before `now`.
    double at(time_point now) const;

private:
    struct entry
    {
        grant_counts counts;
        time_point at{};
    };

    void keep_latest();
    double total_from(entry const& earlier, time_point now) const;

    entry latest_;
    std::array<entry, limit_window / grant_step> earlier_{};
    /// Ring buffer position that is overwritten next.
    std::size_t next_ = 0;
    time_point kept_at_{};
};

} // namespace pomelohinge

#endif
