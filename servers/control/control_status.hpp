#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_STATUS_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_STATUS_HPP

#include "core/clock.hpp"
#include "servers/membership/vm_record.hpp"
#include "servers/rollouts/rollout_decision.hpp"

#include <cstdint>
#include <string>

namespace pomelohinge {

/// State of the control plane for the status page.
struct control_status
{
    vm_standing standing = vm_standing::starting;
    std::uint64_t configuration_version = 0;
    std::uint64_t targets_revision = 0;
    std::size_t targets = 0;
    /// Time since the last read of the store that returned this configuration;
    /// `duration::max()` if there was none.
    duration read_age = duration::max();
    /// The hub that this VM sends its questions to; empty if it is the hub.
    std::string hub;
    bool reads_store = false;
    fleet_members members;
    std::vector<rollout_decision> rollouts;
};

} // namespace pomelohinge

#endif
