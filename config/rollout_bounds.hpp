#ifndef POMELOHINGE_CONFIG_ROLLOUT_BOUNDS_HPP
#define POMELOHINGE_CONFIG_ROLLOUT_BOUNDS_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// What a version that is rolled out may cost if it is bad. docs/SETTINGS.md
/// describes the values.
struct rollout_bounds
{
    /// Requests that a bad version may get: this share of all requests to its
    /// service between the order and its deadline, and `exposure_extra` more.
    double exposure_share = 0.1;
    double exposure_extra = 50;
    /// A bad version gets no request this long after its fiftieth bad answer.
    duration rollback = std::chrono::seconds(5);
};

} // namespace pomelohinge

#endif
