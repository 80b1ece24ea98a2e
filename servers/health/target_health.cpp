#include "servers/health/target_health.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Answers after a failure that clear a suspect.
constexpr std::uint32_t answers_to_clear = 2;

/// Failures, the one that made it suspect included, that condemn it.
constexpr std::uint32_t failures_to_condemn = 2;

/// How long an ejected target rests. The time doubles when it is ejected
/// again soon, and stays below two seconds, within which a target that has
/// recovered is expected to get requests again.
constexpr duration shortest_rest = std::chrono::milliseconds(700);
constexpr duration longest_rest = std::chrono::milliseconds(1600);

/// An ejection that was this long ago does not lengthen the next one.
constexpr duration rest_memory = std::chrono::seconds(5);

} // namespace

void target_health::fire(target_event event, time_point now)
{
    now_ = now;
    life_.fire(event, *this);
}

void target_health::attempted(target_event event, time_point now)
{
    if (event == target_event::answered)
        answered_at_ = now;
    fire(event, now);
}

void target_health::reported(target_report const& news, time_point now)
{
    if (news.faults > 0)
        fire(target_event::faulted, now);
    else if (news.silences > 0)
        fire(target_event::silent, now);
    if (news.answers > 0) {
        answered_at_ = now;
        // A target that fails part of its requests answers the others.
        if (news.faults == 0 && news.silences == 0)
            fire(target_event::answered, now);
    }
}

void target_health::tick(time_point now)
{
    if (state() == target_state::ejected && now >= rest_ends_)
        fire(target_event::rested, now);
}

bool target_health::check(target_guard guard) const
{
    switch (guard) {
    case target_guard::is_cleared:
        return answers_ + 1 >= answers_to_clear;
    case target_guard::is_condemned:
        return failures_ + 1 >= failures_to_condemn;
    }
    return false;
}

void target_health::perform(target_action action)
{
    switch (action) {
    case target_action::count_answer:
        ++answers_;
        return;
    case target_action::count_failure:
        ++failures_;
        answers_ = 0;
        return;
    case target_action::clear_evidence:
        answers_ = 0;
        failures_ = 0;
        return;
    case target_action::begin_rest: {
        bool const again =
            rest_ > duration::zero() && now_ - ejected_at_ < rest_memory;
        rest_ = again ? std::min(rest_ * 2, longest_rest) : shortest_rest;
        ejected_at_ = now_;
        rest_ends_ = now_ + rest_;
        return;
    }
    }
}

} // namespace pomelohinge
