#ifndef POMELOHINGE_CONFIG_SETTINGS_HPP
#define POMELOHINGE_CONFIG_SETTINGS_HPP

#include "config/fleet_bounds.hpp"
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

/// What one VM is told when it starts; docs/SETTINGS.md describes it.
struct settings
{
    vm_id vm;
    data_centre_id data_centre;
    /// `IP:PORT` for callers, for other VMs and for operators.
    std::string callers_address;
    std::string peers_address;
    std::string operators_address;
    /// `IP:PORT` for readiness and for entry questions, where these have
    /// addresses of their own; empty otherwise.
    std::string readiness_address;
    std::string directory_address;
    /// `IP:PORT` of the platform's object service.
    std::string platform_address;
    /// Peers' addresses of VMs to ask when the platform is away at start.
    std::vector<std::string> seeds;
    std::int64_t traffic_threads = 2;
    /// What the VM bears: cores, with fractions, and its link.
    double cores = 1;
    double link_mbps = 1000;
    log_settings logs;
    /// Largest request body that is served, in bytes.
    std::int64_t request_body_bytes = 1 << 20;
    /// Largest answer body that is passed on, in bytes.
    std::int64_t answer_body_bytes = 4 << 20;
    /// Longest time that a planned stop waits for running requests.
    std::chrono::milliseconds stop_timeout{30'000};
    fleet_bounds bounds;
};

/// Reads settings in JSON with comments. All problems are added to `found`
/// with line and column; the result is empty if there was any.
std::optional<settings> parse_settings(std::string_view text, findings& found);

} // namespace pomelohinge

#endif
