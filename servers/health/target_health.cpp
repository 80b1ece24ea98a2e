#include "servers/health/target_health.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Doubt below which a target gets any request, from which on it only gets
/// single requests that may be repeated, and from which on it gets nothing.
constexpr double cleared = 0.12;
constexpr double doubtful = 0.25;
constexpr double condemned = 0.82;

/// Doubt at which a target that got nothing is tried again: from certainty it
/// takes 0.9 s to get there. A target that has recovered is expected to get
/// requests within two seconds.
constexpr double worth_a_try = 0.8;

/// How far only the target can have caused a failure. An attempt without
/// any answer may have been lost on the way; what others miss may be on
/// their way alone.
constexpr double fault_certainty = 1;
constexpr double silence_certainty = 0.95;
constexpr double reported_silence_certainty = 0.7;

/// Reports of the same kind that count at a time: what others saw at the
/// same moment is hardly independent.
constexpr std::uint32_t most_reported = 3;

} // namespace

void target_health::fire(target_event event, time_point now)
{
    now_ = now;
    life_.fire(event, *this);
}

void target_health::attempted(target_event event, double usual, time_point now)
{
    tried_at_ = now;
    switch (event) {
    case target_event::answered:
        doubt_.answered(usual, now);
        break;
    case target_event::faulted:
        doubt_.failed(usual, fault_certainty, now);
        break;
    case target_event::silent:
        doubt_.failed(usual, silence_certainty, now);
        break;
    case target_event::rested:
        break;
    }
    fire(event, now);
}

void target_health::reported(
    target_report const& news, double usual, time_point now)
{
    if (!news.has_observations())
        return;
    tried_at_ = now;
    for (std::uint32_t it = 0; it < std::min(news.answers, most_reported); ++it)
        doubt_.answered(usual, now);
    for (std::uint32_t it = 0; it < std::min(news.faults, most_reported); ++it)
        doubt_.failed(usual, fault_certainty, now);
    for (std::uint32_t it = 0; it < std::min(news.silences, most_reported);
         ++it)
        doubt_.failed(usual, reported_silence_certainty, now);
    if (news.faults > 0)
        fire(target_event::faulted, now);
    else if (news.silences > 0)
        fire(target_event::silent, now);
    else
        fire(target_event::answered, now);
}

bool target_health::check(target_guard guard) const
{
    auto const value = doubt_.at(now_);
    switch (guard) {
    case target_guard::is_cleared:
        return value < cleared;
    case target_guard::is_doubtful:
        return value >= doubtful;
    case target_guard::is_worth_a_try:
        return value < worth_a_try;
    case target_guard::is_condemned:
        return value >= condemned;
    }
    return false;
}

} // namespace pomelohinge
