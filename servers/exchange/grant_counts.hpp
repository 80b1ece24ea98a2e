#ifndef POMELOHINGE_SERVERS_EXCHANGE_GRANT_COUNTS_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_GRANT_COUNTS_HPP

#include "core/clock.hpp"

#include <array>
#include <cstddef>

namespace pomelohinge {

/// The window over which an organisation's rate and burst are counted.
inline constexpr duration limit_window = std::chrono::seconds(5);

/// Within the window, grants are also reported by their age in these steps.
inline constexpr duration grant_step = std::chrono::seconds(1);

/// Requests let through within the window, and those within its last steps.
struct grant_counts
{
    double within_window = 0;
    /// At position `n` those of the last `n + 1` steps.
    std::array<double, limit_window / grant_step - 1> within_steps{};

    void add(grant_counts const& other);

    /// Those not older than `age`, between the steps by interpolation.
    double granted_within(duration age) const;

    /// Lets time pass without further grants.
    void advance(duration passed);

    friend bool operator==(grant_counts const&, grant_counts const&) = default;
};

/// What others report to have let through. When a process starts anew or a
/// hub is replaced, the reports hold less than was let through; so earlier
/// reports are kept as well, and what was let through since is added to them.
class grant_history
{
public:
    void report(grant_counts const& counts, time_point now);

    /// Requests let through within the window before `now`.
    double at(time_point now) const;

private:
    struct entry
    {
        grant_counts counts;
        time_point at{};
    };

    void keep_latest();
    double since(entry const& earlier, time_point now) const;

    entry latest_;
    std::array<entry, limit_window / grant_step> earlier_{};
    std::size_t next_ = 0;
    time_point kept_at_{};
};

} // namespace pomelohinge

#endif
