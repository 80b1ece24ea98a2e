#include "servers/health/target_keeper.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Time until the first probe; it doubles when the target is ejected again
/// soon after its return.
constexpr duration first_probation = std::chrono::seconds(2);
constexpr duration longest_probation = std::chrono::seconds(60);

/// A target that stayed well for so long starts with a short probation.
constexpr duration flapping_memory = std::chrono::seconds(120);

/// Probes in a row that end a probation.
constexpr std::size_t probes_to_pass = 3;

} // namespace

target_keeper::target_keeper(
    chart<target_chart> const& rules, std::size_t slots, time_point now)
    : life_(rules), slots_(slots), now_(now), entered_at_(now)
{
    ramp_.start(now);
}

void target_keeper::begin(time_point now)
{
    fire(target_event::admitted, now);
}

void target_keeper::fire(target_event event, time_point now)
{
    now_ = now;
    auto const before = life_.state();
    life_.fire(event, *this);
    if (life_.state() != before)
        entered_at_ = now;
}

void target_keeper::attempted(attempt_report const& report, time_point now)
{
    if (report.result == attempt_result::shed)
        return fire(target_event::shed, now);
    if (state() == target_state::probing)
        return probed(!is_bad(report), now);
    evidence_.add(report);
    if (evidence_.condemns())
        return fire(target_event::condemned, now);
    bool const in_ramp = state() == target_state::warming &&
        report.result == attempt_result::answered;
    if (in_ramp && ramp_.answered(report.latency, report.service_median, now))
        fire(target_event::step_earned, now);
}

void target_keeper::probed(bool passed, time_point now)
{
    if (state() != target_state::probing)
        return;
    if (!passed)
        return fire(target_event::condemned, now);
    if (++probes_passed_ >= probes_to_pass)
        return fire(target_event::probe_passed, now);
    wants_.probe = true;
}

void target_keeper::floor_answered(bool granted, time_point now)
{
    fire(granted ? target_event::ejection_granted
                 : target_event::ejection_refused,
        now);
}

void target_keeper::set_drained(bool drained, time_point now)
{
    bool const is_drained = state() == target_state::draining;
    if (drained == is_drained)
        return;
    if (drained)
        return fire(target_event::drain, now);
    fire(target_event::undrain, now);
    fire(target_event::admitted, now);
}

void target_keeper::tick(time_point now)
{
    if (state() == target_state::ejected && now >= probation_ends_)
        fire(target_event::probation_over, now);
    auto const& timeout = life_.timeout();
    if (timeout && now - entered_at_ >= timeout->after)
        fire(timeout->event, now);
}

void target_keeper::set_slots(std::size_t slots)
{
    slots_ = slots;
}

std::size_t target_keeper::limit() const
{
    switch (state()) {
    case target_state::warming:
        return std::min(ramp_.level(), slots_);
    case target_state::healthy:
        return slots_;
    case target_state::suspect:
        return std::min(ramp_.level(), slots_);
    case target_state::cold:
    case target_state::ejected:
    case target_state::probing:
    case target_state::draining:
    case target_state::gone:
        return 0;
    }
    return 0;
}

target_wants target_keeper::take_wants()
{
    return std::exchange(wants_, {});
}

bool target_keeper::check(target_guard guard) const
{
    switch (guard) {
    case target_guard::ramp_complete:
        return ramp_.level() + 1 >= slots_;
    }
    return false;
}

void target_keeper::perform(target_action action)
{
    switch (action) {
    case target_action::start_ramp:
        evidence_.clear();
        return ramp_.start(now_);
    case target_action::step_up:
    case target_action::open_fully:
        return ramp_.step_up(now_);
    case target_action::step_down:
        return ramp_.step_down(now_);
    case target_action::open_for_probe:
        probes_passed_ = 0;
        wants_.probe = true;
        return;
    case target_action::close:
        return;
    case target_action::ask_ejection:
        wants_.ejection = true;
        return;
    case target_action::clear_evidence:
        return evidence_.clear();
    case target_action::distrust:
        return evidence_.distrust();
    case target_action::lengthen_probation:
        probation_ = probation_ > duration::zero() &&
                now_ - last_ejection_ < flapping_memory + probation_
            ? std::min(probation_ * 2, longest_probation)
            : first_probation;
        last_ejection_ = now_;
        probation_ends_ = now_ + probation_;
        return;
    case target_action::return_capacity:
        wants_.return_capacity = true;
        return;
    }
}

} // namespace pomelohinge
