#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_LOG_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_LOG_HPP

#include "servers/dispatch/dispatcher.hpp"
#include "servers/limits/organisation_limits.hpp"
#include "servers/requests/entry_environment.hpp"
#include "servers/requests/request_chart.hpp"

/// The log lines of one request; docs/EVENTS.md documents them.
namespace pomelohinge {

/// An attempt that is about to be sent.
struct sent_attempt
{
    std::size_t number = 0;
    target_record const& target;
    placement_reason const& reason;
    /// Version of the current configuration, and time since it was read.
    std::uint64_t configuration = 0;
    duration read_age{};
    /// Total time that the request has waited for targets.
    duration queued{};
    /// Time until the deadline of the request.
    duration time_left{};
};

/// Summary of a request that has ended.
struct request_summary
{
    organisation_id const& organisation;
    /// Empty if no route has matched.
    route_id const& route;
    service_id const& service;
    target_id const& target;
    std::size_t attempts = 0;
    duration elapsed{};
    duration time_limit{};
    duration goal{};
};

void log_request_sent(std::string const& request, sent_attempt const& attempt);

/// Logs the end of an attempt that took `elapsed`.
void log_attempt_ended(std::string const& request, std::size_t number,
    target_id const& target, attempt_end const& end, duration elapsed);

/// Logs that this VM has cancelled an attempt, since `cause` has happened.
void log_attempt_cancelled(std::string const& request, std::size_t number,
    target_id const& target, request_event cause, duration elapsed);

void log_request_ended(std::string const& request, entry_result const& result,
    request_summary const& summary);

void log_rate_used_up(std::string const& request,
    organisation_id const& organisation, rate_object const& rate,
    charge_verdict const& verdict);

/// Logs that a request with a key is refused, since the configuration was read
/// too long ago.
void log_stale_configuration(std::string const& request, duration read_age);

} // namespace pomelohinge

#endif
