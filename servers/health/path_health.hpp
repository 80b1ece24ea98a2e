#ifndef POMELOHINGE_SERVERS_HEALTH_PATH_HEALTH_HPP
#define POMELOHINGE_SERVERS_HEALTH_PATH_HEALTH_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/health/path_chart.hpp"

namespace pomelohinge {

/// Passive check of the network path from one traffic thread to one target.
/// `target_health` is shared through reports, so the answers that other VMs get
/// keep a target trusted that this VM cannot reach; the path is this thread's
/// own.
class path_health
{
public:
    explicit path_health(chart<path_chart> const& path) : state_(path) {}

    /// Records that an attempt of this thread reached the target.
    void record_reached(time_point now)
    {
        last_reached_at_ = now;
        fire(path_event::reached, now);
    }

    /// Records that an attempt of this thread got no answer.
    void record_silence(time_point now) { fire(path_event::silent, now); }

    /// Records that another VM reports answers of the target.
    void record_reached_elsewhere(time_point now)
    {
        fire(path_event::reached_elsewhere, now);
    }

    /// Ends a doubt that has expired, and starts a trial that is due.
    void tick(time_point now) { fire(path_event::rested, now); }

    path_state state() const { return state_.state(); }

    /// Whether the thread may send the target a request while `in_flight` of
    /// its requests there are unanswered.
    bool allows(std::int64_t in_flight) const
    {
        return state() == path_state::open ||
            (state() != path_state::closed && in_flight == 0);
    }

    /// Whether the path has worked recently and nothing casts doubt on it, so
    /// that silences of other VMs say nothing about the target.
    bool is_confirmed(time_point now) const
    {
        return state() == path_state::open &&
            now - last_reached_at_ < confirmation_period;
    }

    // Called by the state chart.
    bool check(path_guard guard) const;
    void perform(path_action action);

private:
    /// Delay until a closed path is tried again; it doubles from trial to
    /// trial.
    static constexpr duration min_trial_delay = std::chrono::seconds(2);
    static constexpr duration max_trial_delay = std::chrono::seconds(16);

    /// An answer confirms the path for this long.
    static constexpr duration confirmation_period = std::chrono::seconds(2);

    void fire(path_event event, time_point now);

    chart_instance<path_chart> state_;
    time_point now_{};
    time_point last_reached_at_{};
    time_point in_doubt_since_{};
    time_point trial_at_{};
    duration trial_delay_ = min_trial_delay;
};

} // namespace pomelohinge

#endif
