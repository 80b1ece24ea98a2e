#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_REPLY_STAMPS_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_REPLY_STAMPS_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <optional>

namespace pomelohinge {

/// Stamps for replies, by which a later question shows that it was asked
/// after them. A stamp is a point on this process's clock, mixed with its
/// incarnation, so that stamps of other processes are not taken for its own.
class reply_stamps
{
public:
    explicit reply_stamps(std::uint64_t incarnation) : incarnation_(incarnation)
    {
    }

    std::uint64_t make(time_point now)
    {
        latest_ = now;
        return ticks(now) ^ incarnation_;
    }

    /// When `stamp` was made; empty if it is not one of this process or
    /// older than evidence can be of use.
    std::optional<time_point> find(std::uint64_t stamp) const
    {
        constexpr duration useful = std::chrono::seconds(60);
        auto const at = time_point(
            duration(static_cast<duration::rep>(stamp ^ incarnation_)));
        if (at > latest_ || at < latest_ - useful)
            return std::nullopt;
        return at;
    }

private:
    static std::uint64_t ticks(time_point at)
    {
        return static_cast<std::uint64_t>(at.time_since_epoch().count());
    }

    std::uint64_t incarnation_;
    time_point latest_{};
};

} // namespace pomelohinge

#endif
