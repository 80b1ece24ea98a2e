#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_ENVIRONMENT_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_ENVIRONMENT_HPP

#include "core/findings.hpp"
#include "servers/control/store_results.hpp"
#include "servers/requests/policy.hpp"

#include <functional>
#include <optional>

namespace pomelohinge {

/// Interface of the control plane to the clock, the store, other VMs and the
/// traffic threads; implemented by the daemon and by tests. Each callback runs
/// once, asynchronously, on the control thread.
template <class Environment>
concept ControlEnvironment = FleetStore<Environment> &&
    requires(Environment& environment, std::string const& address,
        sync_question const& question, std::string_view text, findings& found,
        policy_pointer const& snapshot, time_point at, traffic_report report)
{
    {
        environment.now()
        } -> std::same_as<time_point>;
    {
        environment.random()
        } -> std::same_as<std::uint64_t>;
    {
        environment.decode_configuration(text, found)
        } -> std::same_as<std::optional<configuration>>;
    environment.send_sync(address, question, std::function<void(sync_reply)>());
    // Communication with the traffic threads.
    environment.publish(snapshot);
    environment.set_read_at(at);
    environment.distribute_report(report);
    environment.collect_report(std::function<void(traffic_report)>());
};

} // namespace pomelohinge

#endif
