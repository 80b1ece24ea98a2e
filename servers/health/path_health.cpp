#include "servers/health/path_health.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Maximum age of an answer that another VM reports: the period of the reports,
/// once to the hub and once from it, and their transport.
constexpr duration max_report_delay = std::chrono::milliseconds(700);

/// If no other VM reports an answer for this long, the doubt ends, since the
/// target itself may fail and recover.
constexpr duration doubt_expiry = std::chrono::milliseconds(1200);

} // namespace

void path_health::fire(path_event event, time_point now)
{
    now_ = now;
    state_.fire(event, *this);
}

bool path_health::check(path_guard guard) const
{
    switch (guard) {
    case path_guard::outlasts_reports:
        return now_ - in_doubt_since_ >= max_report_delay;
    case path_guard::is_doubt_expired:
        return now_ - in_doubt_since_ >= doubt_expiry;
    case path_guard::is_trial_due:
        return now_ >= trial_at_;
    }
    return false;
}

void path_health::perform(path_action action)
{
    switch (action) {
    case path_action::start_doubt:
        in_doubt_since_ = now_;
        return;
    case path_action::schedule_trial:
        trial_at_ = now_ + trial_delay_;
        trial_delay_ = std::min<duration>(trial_delay_ * 2, max_trial_delay);
        return;
    case path_action::reset_delay:
        trial_delay_ = min_trial_delay;
        return;
    }
}

} // namespace pomelohinge
