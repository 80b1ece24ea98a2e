#ifndef POMELOHINGE_CORE_CLOCK_HPP
#define POMELOHINGE_CORE_CLOCK_HPP

#include <chrono>
#include <concepts>
#include <cstdint>
#include <ctime>

namespace pomelohinge {

/// Monotonic clock based on `CLOCK_BOOTTIME`. Unlike
/// `std::chrono::steady_clock`, it includes the time for which the machine was
/// suspended, so that the age of data received before a suspension is correct.
struct boottime_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boottime_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec now{};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return time_point(std::chrono::seconds(now.tv_sec) +
            std::chrono::nanoseconds(now.tv_nsec));
    }
};

/// A point in time on the monotonic clock of this process. It has no meaning
/// on another VM, so messages between VMs carry ages instead.
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

/// Clock source that reads `boottime_clock`.
struct boottime_clock_source
{
    time_point now() const { return boottime_clock::now(); }
};

/// Clock source for tests: the time changes only through `advance`.
class manual_clock
{
public:
    time_point now() const { return now_; }
    void advance(duration by) { now_ += by; }

private:
    time_point now_{std::chrono::hours(1)};
};

/// Converts `value` to seconds, including fractions.
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Converts `seconds`, which may have a fraction, to a duration.
constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

/// Converts `value` to whole milliseconds, truncating the fraction.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Converts `value` to whole milliseconds, rounding up, so that a wait of the
/// result is not shorter than `value`.
constexpr std::int64_t to_milliseconds_rounded_up(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value).count();
}

} // namespace pomelohinge

#endif
