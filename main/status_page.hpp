#ifndef POMELOHINGE_MAIN_STATUS_PAGE_HPP
#define POMELOHINGE_MAIN_STATUS_PAGE_HPP

#include "servers/control/control_status.hpp"
#include "servers/transfer/service_load.hpp"

#include <string>

namespace pomelohinge {

/// Returns the status page of a VM as JSON. `stopping` states whether its
/// graceful shutdown has begun, and `transfers` the part of the requests that
/// may go to other data centres.
std::string to_json(control_status const& status, vm_id const& vm,
    bool stopping, std::map<load_key, double> const& transfers);

/// Returns the metrics of the control plane in the Prometheus text format.
std::string control_metrics(control_status const& status);

} // namespace pomelohinge

#endif
