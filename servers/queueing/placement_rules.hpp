#ifndef POMELOHINGE_SERVERS_QUEUEING_PLACEMENT_RULES_HPP
#define POMELOHINGE_SERVERS_QUEUEING_PLACEMENT_RULES_HPP

#include "core/clock.hpp"
#include "servers/exchange/fleet_reports.hpp"
#include "servers/requests/attempt.hpp"

#include <concepts>

namespace pomelohinge {

/// The rules by which a dispatcher chooses targets, admits requests to its
/// queues and serves them; one type for each `placement_mode`. `choose` returns
/// a target or none, `admit` queues a request without a target or rejects it,
/// and `serve` gives targets to the queued requests of a service. `arrived`
/// records a request, and `shed` that a target has shed one; it returns whether
/// that only means that the target is full. `adopted`, `reported`, `ended` and
/// `held` record what the rules measure: the members of a new policy, reports
/// of others, ends of attempts and how long answers held their slots.
/// `counts_as_served` is whether a
/// request that is sent to the target counts against starvation.
template <class Rules, class Dispatcher, class Service, class Request,
    class Target, class Choice, class Admission>
concept PlacementRules = requires(Rules& rules, Dispatcher& dispatcher,
    Service& service, Request const& request, Target& target,
    traffic_report const& report, attempt_result result, route_id const& route,
    duration held, time_point now)
{
    rules.arrived(service, request, now);
    {
        rules.is_first(service, request, now)
        } -> std::same_as<bool>;
    {
        rules.choose(dispatcher, service, request, now)
        } -> std::same_as<Choice>;
    {
        rules.admit(dispatcher, service, request, now)
        } -> std::same_as<Admission>;
    {
        rules.counts_as_served(target)
        } -> std::same_as<bool>;
    rules.serve(dispatcher, service, now);
    {
        rules.shed(target, now)
        } -> std::same_as<bool>;
    rules.adopted(dispatcher);
    rules.reported(dispatcher, report, now);
    rules.ended(service, target, result, now);
    rules.held(service, route, held);
};

} // namespace pomelohinge

#endif
