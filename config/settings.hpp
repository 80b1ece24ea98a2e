#ifndef POMELOHINGE_CONFIG_SETTINGS_HPP
#define POMELOHINGE_CONFIG_SETTINGS_HPP

#include "config/fleet_bounds.hpp"
#include "config/placement_settings.hpp"
#include "config/rollout_bounds.hpp"
#include "config/transfer_settings.hpp"
#include "core/clock.hpp"
#include "core/findings.hpp"
#include "core/identifiers.hpp"
#include "core/log.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// Settings of the daemon on one VM; docs/SETTINGS.md describes them.
struct settings
{
    vm_id vm;
    data_centre_id data_centre;
    /// Listening addresses (`IP:PORT`) for callers, other VMs and operators.
    std::string callers_address;
    std::string peers_address;
    std::string operators_address;
    /// Separate listening addresses (`IP:PORT`) for readiness checks and for
    /// entry questions (requests for the addresses of entry VMs); empty if
    /// there is none.
    std::string readiness_address;
    std::string directory_address;
    /// Address (`IP:PORT`) of the platform's object service.
    std::string platform_address;
    /// `peers_address` of VMs to contact if the platform is unreachable at
    /// start.
    std::vector<std::string> seeds;
    /// Number of threads that handle requests, besides the control thread.
    std::int64_t traffic_threads = 2;
    /// Capacity of the VM: cores, which may be fractional, and the bandwidth of
    /// its network link in Mbit/s.
    double cores = 1;
    double link_mbps = 1000;
    /// Memory that the process may use, in MB (10^6 bytes); 0 if unknown.
    double memory_mb = 0;
    log_settings logs;
    /// Maximum size of a request body that is accepted.
    std::int64_t request_body_bytes = 1 << 20;
    /// Maximum size of an answer body that is forwarded to the caller.
    std::int64_t answer_body_bytes = 4 << 20;
    /// Memory for large answers that are being received or passed on.
    std::int64_t buffer_bytes = 64 << 20;
    /// Maximum time for which a planned stop waits for running requests.
    std::chrono::milliseconds stop_timeout{30'000};
    fleet_bounds bounds;
    /// Set if versions are rolled out by orders in the store.
    std::optional<rollout_bounds> rollouts;
    /// Budget for reports to hubs of other data centres, in bytes per second;
    /// 0 for none.
    double remote_bytes_per_second = 0;
    placement_settings placement;
    /// Absent: requests go to other data centres at a constant cost.
    std::optional<transfer_settings> transfers;
    /// What was read otherwise than it is written: numbers of the machine and
    /// of the bounds that are out of range, and addresses that cannot be used.
    std::vector<std::string> adjustments;
};

/// Parses settings in JSON with comments. All errors are added to `found` with
/// line and column; the result is empty if there are any.
std::optional<settings> parse_settings(std::string_view text, findings& found);

} // namespace pomelohinge

#endif
