#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_ENVIRONMENT_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_ENVIRONMENT_HPP

#include "core/findings.hpp"
#include "servers/control/store_results.hpp"
#include "servers/requests/policy.hpp"

#include <functional>
#include <optional>

namespace pomelohinge {

/// What control needs of its surroundings: a daemon with sockets or a test
/// without. Replies come once, later, on the control thread.
template <class Environment>
concept ControlEnvironment = FleetStore<Environment> &&
    requires(Environment& environment, std::string const& address,
        sync_question const& question, std::string_view text, findings& found,
        policy_pointer const& next, time_point at, traffic_report report)
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
    // Traffic threads.
    environment.publish(next);
    environment.set_read_at(at);
    environment.distribute_report(report);
    environment.collect_report(std::function<void(traffic_report)>());
};

} // namespace pomelohinge

#endif
