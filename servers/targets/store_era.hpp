#ifndef POMELOHINGE_SERVERS_TARGETS_STORE_ERA_HPP
#define POMELOHINGE_SERVERS_TARGETS_STORE_ERA_HPP

#include "core/clock.hpp"

#include <compare>
#include <cstdint>

namespace pomelohinge {

/// The part of the store's history that data belongs to. It changes when the
/// store is restored from an older copy: revisions are then used again, so data
/// is ordered by era first. Within a number, what was read after it has settled
/// is newer.
struct store_era
{
    /// Zero if the store does not tell its era.
    std::uint64_t number = 0;
    /// Operators and targets have had time to write again what the store lost.
    bool is_settled = true;

    friend auto operator<=>(store_era const&, store_era const&) = default;
};

/// Derives the era of reads from the number that the store's answers give.
class era_tracker
{
public:
    /// Time from the first answer of a new era in which what the store has is
    /// not trusted to undo anything.
    static constexpr duration settling_time = std::chrono::milliseconds(2000);

    /// Records an answer and returns whether its era is new. `known` is the era
    /// of the data that this VM holds, which may come from another VM.
    bool note(std::uint64_t number, store_era const& known, time_point now)
    {
        if (number <= number_)
            return false;
        number_ = number;
        is_known_settled_ = known.number >= number && known.is_settled;
        settles_at_ = now + settling_time;
        return true;
    }

    /// The era of an answer with `number` to a call made at `requested_at`.
    store_era era_of(std::uint64_t number, time_point requested_at) const
    {
        bool const is_settled = number == 0 || number < number_ ||
            is_known_settled_ || requested_at >= settles_at_;
        return {number, is_settled};
    }

    /// When the latest era settles; in the past if it has.
    time_point settles_at() const
    {
        return is_known_settled_ ? time_point{} : settles_at_;
    }

private:
    std::uint64_t number_ = 0;
    bool is_known_settled_ = true;
    time_point settles_at_{};
};

} // namespace pomelohinge

#endif
