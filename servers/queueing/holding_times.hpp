#ifndef POMELOHINGE_SERVERS_QUEUEING_HOLDING_TIMES_HPP
#define POMELOHINGE_SERVERS_QUEUEING_HOLDING_TIMES_HPP

#include "core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pomelohinge {

/// How long requests of one kind hold a slot, measured from the latest answered
/// attempts.
class holding_times
{
public:
    void add(duration held);

    /// Zero until an attempt has ended.
    duration median() const { return median_; }
    /// Nine in ten attempts ended within this time.
    duration high_quantile() const { return high_; }

private:
    static constexpr std::size_t max_samples = 32;

    void update_quantiles();

    /// The latest values in milliseconds; a ring once it is full.
    std::array<std::uint32_t, max_samples> samples_ms_{};
    std::size_t added_ = 0;
    duration median_{};
    duration high_{};
};

} // namespace pomelohinge

#endif
