#ifndef POMELOHINGE_SERVERS_TARGETS_TARGET_NOTICE_HPP
#define POMELOHINGE_SERVERS_TARGETS_TARGET_NOTICE_HPP

#include "core/clock.hpp"

#include <optional>

namespace pomelohinge {

/// What a target says of itself in an answer.
struct target_notice
{
    /// It shuts down.
    bool leaving = false;
    /// It wants no requests from this VM for so long, at most `max_pause`.
    std::optional<duration> pause;
    /// It asked for a pause in a way that cannot be read, or for too long a
    /// one.
    bool unreadable = false;

    /// Longest pause that is kept; a longer one is an error of the target.
    static constexpr duration max_pause = std::chrono::hours(1);
    /// Kept instead of a pause that is too long.
    static constexpr duration default_pause = std::chrono::seconds(5);

    bool empty() const { return !leaving && !pause && !unreadable; }
};

} // namespace pomelohinge

#endif
