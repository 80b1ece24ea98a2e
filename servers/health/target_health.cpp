#include "servers/health/target_health.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Limits on the failure probability. From the suspicion threshold on, a target
/// gets only single requests that may be retried, and from the ejection
/// threshold on, none. A suspect below the recovery threshold gets any request
/// again.
constexpr double recovery_threshold = 0.12;
constexpr double suspicion_threshold = 0.25;
constexpr double ejection_threshold = 0.82;

/// Failure probability below which an ejected target gets requests again.
/// The decay from the maximum to this value takes 0.9 s. A target that has
/// recovered must get requests within two seconds.
constexpr double probe_threshold = 0.8;

/// Probability that the target and not the network path caused a failure. An
/// attempt without any answer may have been lost on the network path, and an
/// unanswered attempt of another VM may have been lost on that VM's own path.
/// A reused connection has probably been closed while it was idle.
constexpr double fault_certainty = 1;
constexpr double silence_certainty = 0.95;
constexpr double drop_certainty = 0.5;
constexpr double reported_silence_certainty = 0.7;

/// Bounds of the recovery delay, and its minimum for a confirmed failure: from
/// `confirming_failures` failures on, or from the first one on if more than
/// `min_confirmation_rate` of the service's are followed by others.
constexpr duration min_recovery_delay = std::chrono::milliseconds(1300);
constexpr duration confirmed_recovery_delay = std::chrono::seconds(7);
constexpr duration max_recovery_delay = std::chrono::seconds(15);
constexpr int confirming_failures = 2;
constexpr double min_confirmation_rate = 0.5;

/// Maximum number of observations of one kind that count per report.
/// Simultaneous observations of other VMs are hardly independent of each other.
constexpr std::uint32_t max_counted_per_report = 3;

} // namespace

void target_health::fire(target_event event, time_point now)
{
    now_ = now;
    state_.fire(event, *this);
    bool const is_failure =
        event != target_event::answered && event != target_event::rested;
    if (event != target_event::rested)
        last_failed_ = is_failure;
    if (state() == target_state::trusted)
        failures_ = 0;
    else if (is_failure)
        count_failure(now);
}

void target_health::record_attempt(
    target_event event, service_baseline const& service, time_point now)
{
    last_observed_at_ = now;
    bool const was_trusted = state() == target_state::trusted;
    switch (event) {
    case target_event::answered:
        failure_probability_.record_success(service.failure_rate, now);
        break;
    case target_event::faulted:
        failure_probability_.record_failure(
            service.failure_rate, fault_certainty, now);
        record_first_failure(service, was_trusted, now);
        break;
    case target_event::silent:
        failure_probability_.record_failure(
            service.failure_rate, silence_certainty, now);
        break;
    case target_event::dropped:
        failure_probability_.record_failure(
            service.failure_rate, drop_certainty, now);
        break;
    case target_event::rested:
        break;
    }
    fire(event, now);
}

void target_health::record_report(target_report const& report,
    service_baseline const& service, time_point now)
{
    if (!report.has_observations())
        return;
    last_observed_at_ = now;
    for (std::uint32_t it = 0;
         it < std::min(report.answers, max_counted_per_report); ++it)
        failure_probability_.record_success(service.failure_rate, now);
    for (std::uint32_t it = 0;
         it < std::min(report.faults, max_counted_per_report); ++it)
        failure_probability_.record_failure(
            service.failure_rate, fault_certainty, now);
    for (std::uint32_t it = 0;
         it < std::min(report.silences, max_counted_per_report); ++it)
        failure_probability_.record_failure(
            service.failure_rate, reported_silence_certainty, now);
    if (report.faults > 0)
        record_first_failure(service, state() == target_state::trusted, now);
    if (report.faults > 0)
        fire(target_event::faulted, now);
    else if (report.silences > 0)
        fire(target_event::silent, now);
    else
        fire(target_event::answered, now);
}

void target_health::count_failure(time_point now)
{
    if (failures_++ == 0)
        first_failure_at_ = now;
    last_failure_at_ = now;
}

bool target_health::is_confirmed(service_baseline const& service) const
{
    return failures_ >= confirming_failures ||
        service.confirmation_rate > min_confirmation_rate;
}

duration target_health::recovery_delay(service_baseline const& service) const
{
    if (!is_confirmed(service))
        return min_recovery_delay;
    return std::clamp<duration>(last_failure_at_ - first_failure_at_,
        confirmed_recovery_delay, max_recovery_delay);
}

/// After the first failure of a trusted target, the probability is at least the
/// share of such failures that were followed by others.
void target_health::record_first_failure(
    service_baseline const& service, bool was_trusted, time_point now)
{
    if (was_trusted)
        failure_probability_.raise_to(service.confirmation_rate, now);
}

bool target_health::check(target_guard guard) const
{
    auto const probability = failure_probability_.at(now_);
    switch (guard) {
    case target_guard::is_below_recovery_threshold:
        return probability < recovery_threshold;
    case target_guard::reaches_suspicion_threshold:
        return probability >= suspicion_threshold;
    case target_guard::is_below_probe_threshold:
        return probability < probe_threshold;
    case target_guard::reaches_ejection_threshold:
        return probability >= ejection_threshold;
    }
    return false;
}

} // namespace pomelohinge
