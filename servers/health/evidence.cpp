#include "servers/health/evidence.hpp"

#include <algorithm>
#include <cmath>

namespace pomelohinge {
namespace {

/// Share of attempts that go wrong at a healthy and at a failing target.
constexpr double healthy_failures = 0.02;
constexpr double failing_failures = 0.5;

/// Score at which a target is condemned. Five failures in a row reach it.
constexpr double condemning_score = 16;

/// Score of a target that has just come back.
constexpr double distrusted_score = 10;

/// The score does not grow beyond this, so that recovery is seen.
constexpr double highest_score = 24;

/// With more failures than this over the whole service, no target stands
/// out, and attempts count for nothing.
constexpr double service_trouble = 0.4;

/// An answer is slow beyond this multiple of the service's median, and
/// never below the shortest limit, where noise rules.
constexpr int slow_factor = 6;
constexpr duration shortest_slow_limit = std::chrono::milliseconds(60);

} // namespace

duration slow_limit(duration service_median)
{
    if (service_median <= duration::zero())
        return duration::max();
    return std::max(service_median * slow_factor, shortest_slow_limit);
}

bool is_bad(attempt_report const& report)
{
    switch (report.result) {
    case attempt_result::server_error:
    case attempt_result::connect_failed:
    case attempt_result::connection_lost:
    case attempt_result::wrong_answer:
    case attempt_result::timed_out:
        return true;
    case attempt_result::answered:
        return report.latency > slow_limit(report.service_median);
    case attempt_result::shed:
    case attempt_result::too_large:
    case attempt_result::cancelled:
        return false;
    }
    return false;
}

void target_evidence::add(attempt_report const& report)
{
    bool const says_nothing = report.result == attempt_result::cancelled ||
        report.result == attempt_result::shed ||
        report.result == attempt_result::too_large;
    if (says_nothing || report.service_failures > service_trouble)
        return;
    static double const against = std::log(failing_failures / healthy_failures);
    static double const in_favour =
        std::log((1 - failing_failures) / (1 - healthy_failures));
    score_ += is_bad(report) ? against : in_favour;
    score_ = std::clamp(score_, 0.0, highest_score);
}

void target_evidence::distrust()
{
    score_ = distrusted_score;
}

bool target_evidence::condemns() const
{
    return score_ >= condemning_score;
}

} // namespace pomelohinge
