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

/// Bounds of the recovery delay, and its minimum from `confirming_failures`
/// failures on.
constexpr duration min_recovery_delay = std::chrono::milliseconds(1300);
constexpr duration confirmed_recovery_delay = std::chrono::seconds(7);
constexpr duration max_recovery_delay = std::chrono::seconds(15);
constexpr int confirming_failures = 2;

/// Maximum number of observations of one kind that count per report.
/// Simultaneous observations of other VMs are hardly independent of each other.
constexpr std::uint32_t max_counted_per_report = 3;

} // namespace

void target_health::fire(target_event event, time_point now)
{
    now_ = now;
    state_.fire(event, *this);
    if (state() == target_state::trusted)
        failures_ = 0;
    else if (event != target_event::answered && event != target_event::rested)
        count_failure(now);
}

void target_health::record_attempt(
    target_event event, double baseline_failure_rate, time_point now)
{
    last_observed_at_ = now;
    switch (event) {
    case target_event::answered:
        failure_probability_.record_success(baseline_failure_rate, now);
        break;
    case target_event::faulted:
        failure_probability_.record_failure(
            baseline_failure_rate, fault_certainty, now);
        break;
    case target_event::silent:
        failure_probability_.record_failure(
            baseline_failure_rate, silence_certainty, now);
        break;
    case target_event::dropped:
        failure_probability_.record_failure(
            baseline_failure_rate, drop_certainty, now);
        break;
    case target_event::rested:
        break;
    }
    fire(event, now);
}

void target_health::record_report(
    target_report const& report, double baseline_failure_rate, time_point now)
{
    if (!report.has_observations())
        return;
    last_observed_at_ = now;
    for (std::uint32_t it = 0;
         it < std::min(report.answers, max_counted_per_report); ++it)
        failure_probability_.record_success(baseline_failure_rate, now);
    for (std::uint32_t it = 0;
         it < std::min(report.faults, max_counted_per_report); ++it)
        failure_probability_.record_failure(
            baseline_failure_rate, fault_certainty, now);
    for (std::uint32_t it = 0;
         it < std::min(report.silences, max_counted_per_report); ++it)
        failure_probability_.record_failure(
            baseline_failure_rate, reported_silence_certainty, now);
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

duration target_health::recovery_delay() const
{
    if (failures_ < confirming_failures)
        return min_recovery_delay;
    return std::clamp<duration>(last_failure_at_ - first_failure_at_,
        confirmed_recovery_delay, max_recovery_delay);
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
