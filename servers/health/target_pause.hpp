#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_PAUSE_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_PAUSE_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/health/pause_chart.hpp"

#include <algorithm>

namespace pomelohinge {

/// The pause that a target has asked this VM for; follows charts/pause.jsonc.
class target_pause
{
public:
    explicit target_pause(chart<pause_chart> const& pause) : state_(pause) {}

    /// Records an answer that asks for a pause of `length`. A pause is never
    /// shortened by a later answer.
    void record_asked(duration length, time_point now)
    {
        ends_at_ = std::max(ends_at_, now + length);
        fire(pause_event::asked, now);
    }

    /// Records an answer that does not ask for a pause.
    void record_answer(time_point now) { fire(pause_event::answered, now); }

    /// Ends a pause that is over.
    void tick(time_point now) { fire(pause_event::rested, now); }

    pause_state state() const { return state_.state(); }

    /// End of the latest pause.
    time_point ends_at() const { return ends_at_; }

    /// Whether the target may get a request while `in_flight` of this thread
    /// are unanswered.
    bool allows(std::int64_t in_flight) const
    {
        return state() == pause_state::none ||
            (state() == pause_state::resuming && in_flight == 0);
    }

    // Called by the state chart.
    bool check(pause_guard) const { return now_ >= ends_at_; }
    void perform(pause_action) {}

private:
    void fire(pause_event event, time_point now)
    {
        now_ = now;
        state_.fire(event, *this);
    }

    chart_instance<pause_chart> state_;
    time_point now_{};
    time_point ends_at_{};
};

} // namespace pomelohinge

#endif
