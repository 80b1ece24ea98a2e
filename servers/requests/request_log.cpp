#include "servers/requests/request_log.hpp"

#include "core/log.hpp"

namespace pomelohinge {
namespace {

void log_refused(std::string const& request, refusal const& it,
    request_summary const& summary)
{
    log(log_event::request_refused,
        {{"request", request}, {"kind", to_name(it.kind)},
            {"outcome", to_name(it.result)}, {"detail", it.detail},
            {"organisation", summary.organisation.text()},
            {"route", summary.route.text()},
            {"service", summary.service.text()}, {"attempts", summary.attempts},
            {"ms", to_milliseconds(summary.elapsed)},
            {"goal_ms", to_milliseconds(summary.goal)},
            {"limit_ms", to_milliseconds(summary.time_limit)}});
}

void log_answered(std::string const& request, upstream_answer const& it,
    request_summary const& summary)
{
    log(log_event::request_answered,
        {{"request", request}, {"status", it.status},
            {"target", summary.target.text()},
            {"organisation", summary.organisation.text()},
            {"route", summary.route.text()},
            {"service", summary.service.text()}, {"attempts", summary.attempts},
            {"ms", to_milliseconds(summary.elapsed)},
            {"goal_ms", to_milliseconds(summary.goal)}});
}

} // namespace

void log_request_sent(std::string const& request, sent_attempt const& it)
{
    log(log_event::request_sent,
        {{"request", request}, {"attempt", it.number},
            {"target", it.target.id.text()},
            {"target_revision", it.target.revision},
            {"cause", to_name(it.reason.cause)},
            {"state", to_name(it.reason.state)},
            {"in_flight", it.reason.in_flight},
            {"in_flight_elsewhere", it.reason.in_flight_elsewhere},
            {"candidates", it.reason.candidates},
            {"near", it.reason.local ? 1 : 0},
            {"configuration", it.configuration},
            {"read_age_ms", to_milliseconds(it.read_age)},
            {"queued_ms", to_milliseconds(it.queued)},
            {"left_ms", to_milliseconds(it.time_left)}});
}

void log_attempt_ended(std::string const& request, std::size_t number,
    target_id const& target, attempt_end const& end, duration elapsed)
{
    log(log_event::attempt_ended,
        {{"request", request}, {"attempt", number}, {"target", target.text()},
            {"result", to_name(end.result)}, {"status", end.answer.status},
            {"reused", end.use.earlier_requests > 0 ? 1 : 0},
            {"connection", end.use.connection},
            {"earlier_requests", end.use.earlier_requests},
            {"skipped_answers", end.use.skipped_answers},
            {"owner", to_name(end.use.owner)},
            {"ms", to_milliseconds(elapsed)}});
}

void log_attempt_cancelled(std::string const& request, std::size_t number,
    target_id const& target, request_event cause, duration elapsed)
{
    log(log_event::attempt_ended,
        {{"request", request}, {"attempt", number}, {"target", target.text()},
            {"result", to_name(attempt_result::cancelled)},
            {"cause", to_name(cause)}, {"status", 0},
            {"ms", to_milliseconds(elapsed)}});
}

void log_request_ended(std::string const& request, entry_result const& result,
    request_summary const& summary)
{
    if (auto const* const it = std::get_if<refusal>(&result))
        log_refused(request, *it, summary);
    else if (auto const* const it = std::get_if<upstream_answer>(&result))
        log_answered(request, *it, summary);
}

void log_rate_used_up(std::string const& request,
    organisation_id const& organisation, rate_object const& rate,
    charge_verdict const& verdict)
{
    log(log_event::rate_used_up,
        {{"request", request}, {"organisation", organisation.text()},
            {"rate", rate.requests_per_second}, {"burst", rate.burst},
            {"share", verdict.share}, {"demand", verdict.demand},
            {"demand_elsewhere", verdict.demand_elsewhere},
            {"granted_by_all", verdict.granted_by_all},
            {"knows_all", verdict.has_all_reports ? 1 : 0},
            {"word_age_ms", to_milliseconds(verdict.report_age)}});
}

void log_stale_configuration(std::string const& request, duration read_age)
{
    log(log_event::configuration_stale,
        {{"request", request}, {"read_age_ms", to_milliseconds(read_age)}});
}

} // namespace pomelohinge
