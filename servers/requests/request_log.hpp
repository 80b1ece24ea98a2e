#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_LOG_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_LOG_HPP

#include "servers/dispatch/dispatcher.hpp"
#include "servers/limits/organisation_limits.hpp"
#include "servers/requests/entry_environment.hpp"

/// The log lines of one request; docs/EVENTS.md has their meaning.
namespace pomelohinge {

/// One attempt as it is sent.
struct sent_attempt
{
    std::size_t number = 0;
    target_record const& target;
    placement_reason const& reason;
    /// Version of the configuration that decided, and the age of its read.
    std::uint64_t configuration = 0;
    duration read_age{};
    /// Time that the request has waited for targets so far.
    duration queued{};
    /// Time that the target is given.
    duration left{};
};

/// What a request came to.
struct request_end
{
    organisation_id const& organisation;
    service_id const& service;
    target_id const& target;
    std::size_t attempts = 0;
    duration took{};
    duration limit{};
    duration goal{};
};

void log_sent(std::string const& request, sent_attempt const& attempt);

/// An attempt ended after `took`.
void log_attempt_ended(std::string const& request, std::size_t number,
    target_id const& target, attempt_end const& end, duration took);

void log_ended(std::string const& request, entry_result const& result,
    request_end const& end);

void log_rate_used_up(std::string const& request,
    organisation_id const& organisation, rate_object const& rate,
    charge_verdict const& verdict);

/// A keyed request is refused since the configuration was read too long ago.
void log_stale(std::string const& request, duration read_age);

} // namespace pomelohinge

#endif
