#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_STATUS_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_STATUS_HPP

#include "core/clock.hpp"
#include "servers/membership/vm_record.hpp"

#include <cstdint>
#include <string>

namespace pomelohinge {

/// What `status` shows of the control plane.
struct control_status
{
    vm_standing standing = vm_standing::starting;
    std::uint64_t configuration_version = 0;
    std::uint64_t targets_revision = 0;
    std::size_t targets = 0;
    /// Time since the store held this configuration; maximum if never read.
    duration read_age = duration::max();
    /// The VM that is asked as hub; empty if this one is it.
    std::string hub;
    bool reads_store = false;
    fleet_members members;
};

} // namespace pomelohinge

#endif
