#ifndef POMELOHINGE_MAIN_STATUS_PAGE_HPP
#define POMELOHINGE_MAIN_STATUS_PAGE_HPP

#include "servers/control/control_plane.hpp"

#include <string>

namespace pomelohinge {

/// The page `/status`.
std::string to_json(
    control_status const& status, vm_id const& vm, bool stopping);

/// The part of `/metrics` that the control thread knows.
std::string control_metrics(control_status const& status);

} // namespace pomelohinge

#endif
