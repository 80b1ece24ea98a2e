#ifndef POMELOHINGE_MAIN_STATUS_PAGE_HPP
#define POMELOHINGE_MAIN_STATUS_PAGE_HPP

#include "servers/control/control_status.hpp"

#include <string>

namespace pomelohinge {

/// The status page of a VM, JSON.
std::string to_json(
    control_status const& status, vm_id const& vm, bool stopping);

/// The control plane's part of the metrics, Prometheus text.
std::string control_metrics(control_status const& status);

} // namespace pomelohinge

#endif
