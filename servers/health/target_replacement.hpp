#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_REPLACEMENT_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_REPLACEMENT_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/health/replacement_chart.hpp"

#include <algorithm>

namespace pomelohinge {

/// Whether another target answers at the address of a target; follows
/// charts/replacement.jsonc.
class target_replacement
{
public:
    explicit target_replacement(chart<replacement_chart> const& replacement)
        : state_(replacement)
    {
    }

    /// Records that another target has answered.
    void record_misdirected(time_point now)
    {
        fire(replacement_event::misdirected, now);
    }

    /// Records an answer of the target itself.
    void record_answer(time_point now)
    {
        fire(replacement_event::answered, now);
    }

    /// Records that the target has another address now.
    void record_move() { fire(replacement_event::moved, now_); }

    /// Starts a trial that is due.
    void tick(time_point now) { fire(replacement_event::rested, now); }

    replacement_state state() const { return state_.state(); }

    /// Whether the target may get a request while `in_flight` of this thread
    /// are unanswered.
    bool allows(std::int64_t in_flight) const
    {
        return state() == replacement_state::none ||
            (state() == replacement_state::on_trial && in_flight == 0);
    }

    // Called by the state chart.
    bool check(replacement_guard) const { return now_ >= trial_at_; }
    void perform(replacement_action action)
    {
        switch (action) {
        case replacement_action::schedule_trial:
            trial_at_ = now_ + trial_delay_;
            trial_delay_ =
                std::min<duration>(trial_delay_ * 2, max_trial_delay);
            return;
        case replacement_action::reset_delay:
            trial_delay_ = min_trial_delay;
            return;
        }
    }

private:
    /// Delay until a replaced target is tried again; it doubles from trial to
    /// trial.
    static constexpr duration min_trial_delay = std::chrono::seconds(2);
    static constexpr duration max_trial_delay = std::chrono::seconds(16);

    void fire(replacement_event event, time_point now)
    {
        now_ = now;
        state_.fire(event, *this);
    }

    chart_instance<replacement_chart> state_;
    time_point now_{};
    time_point trial_at_{};
    duration trial_delay_ = min_trial_delay;
};

} // namespace pomelohinge

#endif
