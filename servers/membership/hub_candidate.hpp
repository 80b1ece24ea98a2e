#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_HUB_CANDIDATE_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_HUB_CANDIDATE_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/membership/hub_candidate_chart.hpp"

#include <algorithm>

namespace pomelohinge {

/// Whether this VM reaches another one that may be its hub; follows
/// charts/hub_candidate.jsonc.
class hub_candidate
{
public:
    /// Delay until an unreachable VM is probed; it doubles from one probe to
    /// the next.
    static constexpr duration min_probe_delay = std::chrono::milliseconds(1500);
    static constexpr duration max_probe_delay = std::chrono::seconds(12);

    explicit hub_candidate(chart<hub_candidate_chart> const& candidate)
        : state_(candidate)
    {
    }

    /// Records that a question was answered.
    void record_answer(time_point now)
    {
        fire(hub_candidate_event::answered, now);
    }

    /// Records that a question was not answered.
    void record_failure(time_point now)
    {
        fire(hub_candidate_event::failed, now);
    }

    /// Records a question of the VM itself, which it may have sent as a hub.
    void record_question(bool is_hub, time_point now)
    {
        if (is_hub)
            acted_as_hub_at_ = now;
        fire(hub_candidate_event::heard, now);
    }

    /// Records that a VM before it in the order did not answer.
    void record_doubt(time_point now)
    {
        fire(hub_candidate_event::doubted, now);
    }

    hub_candidate_state state() const { return state_.state(); }

    /// Whether the VM has lately sent a question as a hub.
    bool acts_as_hub(time_point now) const
    {
        return acted_as_hub_at_ != time_point{} &&
            now - acted_as_hub_at_ < hub_question_timeout;
    }

    /// Whether to probe an unreachable VM, at the latest `max_delay` after the
    /// last failure.
    bool is_probe_due(duration max_delay, time_point now) const
    {
        return state() == hub_candidate_state::unreachable &&
            now - failed_at_ >= std::min(probe_delay_, max_delay);
    }

    // Called by the state chart.
    bool check(hub_candidate_guard) const { return true; }
    void perform(hub_candidate_action action)
    {
        switch (action) {
        case hub_candidate_action::schedule_probe:
            failed_at_ = now_;
            probe_delay_ = std::clamp<duration>(
                probe_delay_ * 2, min_probe_delay, max_probe_delay);
            return;
        case hub_candidate_action::reset_delay:
            probe_delay_ = duration::zero();
            return;
        }
    }

private:
    /// Hubs of other data centres send several questions in this time.
    static constexpr duration hub_question_timeout = std::chrono::seconds(1);

    void fire(hub_candidate_event event, time_point now)
    {
        now_ = now;
        state_.fire(event, *this);
    }

    chart_instance<hub_candidate_chart> state_;
    time_point now_{};
    time_point failed_at_{};
    time_point acted_as_hub_at_{};
    duration probe_delay_{};
};

} // namespace pomelohinge

#endif
