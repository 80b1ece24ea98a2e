#ifndef POMELOHINGE_CONFIG_TRANSFER_SETTINGS_HPP
#define POMELOHINGE_CONFIG_TRANSFER_SETTINGS_HPP

#include "core/clock.hpp"

namespace pomelohinge {

/// Settings of the decision which requests are sent to other data centres.
struct transfer_settings
{
    /// Cost of a megabyte (10^6 bytes) between data centres, in units of the
    /// value of a request of the lowest priority.
    double price_per_mb = 0;
    /// How often the decision is made.
    duration period = std::chrono::milliseconds(500);

    friend bool operator==(
        transfer_settings const&, transfer_settings const&) = default;
};

} // namespace pomelohinge

#endif
