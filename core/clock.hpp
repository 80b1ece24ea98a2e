#ifndef POMELOHINGE_CORE_CLOCK_HPP
#define POMELOHINGE_CORE_CLOCK_HPP

#include <chrono>
#include <concepts>
#include <cstdint>
#include <ctime>

namespace pomelohinge {

/// The monotonic clock of the machine. It counts the time for which the
/// machine was suspended, which `std::chrono::steady_clock` does not, so
/// that what was known before a suspension is as old as it is.
struct boottime_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boottime_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec it{};
        clock_gettime(CLOCK_BOOTTIME, &it);
        return time_point(std::chrono::seconds(it.tv_sec) +
            std::chrono::nanoseconds(it.tv_nsec));
    }
};

/// A point on the monotonic clock of one process. Points of two processes
/// are never compared; what travels between VMs are ages.
using time_point = boottime_clock::time_point;
using duration = boottime_clock::duration;

/// A source of monotonic time.
template <class Clock>
concept MonotonicClock = requires(Clock const& clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

/// The clock of the machine.
struct system_clock_source
{
    time_point now() const { return boottime_clock::now(); }
};

/// A clock that moves only when it is told to.
class manual_clock
{
public:
    time_point now() const { return now_; }
    void advance(duration by) { now_ += by; }

private:
    time_point now_{std::chrono::hours(1)};
};

/// `value` as seconds with fractions.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// `seconds`, which may have fractions, as a duration.
constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

/// `value` in whole milliseconds, rounded down.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace pomelohinge

#endif
