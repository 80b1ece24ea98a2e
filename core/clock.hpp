#ifndef POMELOHINGE_CORE_CLOCK_HPP
#define POMELOHINGE_CORE_CLOCK_HPP

#include <chrono>
#include <concepts>

namespace pomelohinge {

/// A point on the monotonic clock of one process. Points of two processes
/// are never compared; what travels between VMs are ages.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

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
    time_point now() const { return std::chrono::steady_clock::now(); }
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

/// `value` in whole milliseconds, rounded down.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace pomelohinge

#endif
