#ifndef POMELOHINGE_SERVERS_SELECTION_PLACEMENT_LIMITS_HPP
#define POMELOHINGE_SERVERS_SELECTION_PLACEMENT_LIMITS_HPP

#include "core/clock.hpp"

/// Limits that hold for the placement of requests in each mode.
namespace pomelohinge {

/// Requests that may be repeated probe a target that is confirmed to fail after
/// this part of its recovery delay, and others at once, since a failure costs
/// only another attempt.
inline constexpr int repeatable_probe_divisor = 3;

/// While the share of failed requests to the service is above
/// `failing_service_threshold`, every target that may have recovered is needed,
/// so those that are not trusted are probed after this time at the latest.
inline constexpr duration max_probe_delay = std::chrono::milliseconds(1300);
inline constexpr double failing_service_threshold = 0.1;

/// A service has requests that may be repeated, which serve as probes, if one
/// was submitted within this time.
inline constexpr duration retryable_expiry = std::chrono::seconds(2);

/// A priority without requests for this long does not count as recent.
inline constexpr duration priority_expiry = std::chrono::seconds(5);

/// A target counts as in use for this long after the last request reached it.
/// The floor applies to the targets used within two seconds; the remaining time
/// allows for the delay of reports and for the next request to be sent.
inline constexpr duration use_window = std::chrono::milliseconds(1400);

/// Added to the floor, because the use of a target by other threads is reported
/// with a delay.
inline constexpr double floor_margin = 0.1;

/// Time between two reports of a VM.
inline constexpr duration report_period = std::chrono::milliseconds(200);

/// Bounds of the retry delay that a rejection carries.
inline constexpr duration min_retry_after = std::chrono::milliseconds(100);
inline constexpr duration max_retry_after = std::chrono::seconds(5);

} // namespace pomelohinge

#endif
