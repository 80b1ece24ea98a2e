#ifndef POMELOHINGE_SERVERS_HEALTH_TARGET_KEEPER_HPP
#define POMELOHINGE_SERVERS_HEALTH_TARGET_KEEPER_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/health/evidence.hpp"
#include "servers/health/ramp.hpp"
#include "servers/health/target_chart.hpp"

#include <cstddef>
#include <optional>

namespace pomelohinge {

/// What the keeper wants done outside.
struct target_wants
{
    /// Ask the service's owner whether the floor allows ejection.
    bool ejection = false;
    /// Tell the service's owner that an ejection is over.
    bool return_capacity = false;
    /// Probe the target, since no request may reach it.
    bool probe = false;
};

/// Decides for one target how many requests it may run at a time. It lives
/// on the control thread of the target's owner and is fed with every attempt
/// there.
class target_keeper
{
public:
    target_keeper(
        chart<target_chart> const& rules, std::size_t slots, time_point now);

    /// The owner begins: the target is treated as cold.
    void begin(time_point now);

    /// Takes the report of one attempt.
    void attempted(attempt_report const& report, time_point now);

    /// The answer to a probe while probing.
    void probed(bool passed, time_point now);

    /// What the owner of the service says to an ejection.
    void floor_answered(bool granted, time_point now);

    /// Operators let the target leave, take its data centre out, or want it
    /// back.
    void set_drained(bool drained, time_point now);

    /// Timeouts of states and probation.
    void tick(time_point now);

    void set_slots(std::size_t slots);

    /// Requests that the target may run at a time now.
    std::size_t limit() const;

    target_state state() const { return life_.state(); }
    double score() const { return evidence_.score(); }
    duration probation() const { return probation_; }

    /// Returns and clears what is wanted.
    target_wants take_wants();

    /// For the chart.
    bool check(target_guard guard) const;
    void perform(target_action action);

private:
    void fire(target_event event, time_point now);

    chart_instance<target_chart> life_;
    std::size_t slots_;
    time_point now_;
    time_point entered_at_;
    target_evidence evidence_;
    warm_up_ramp ramp_;
    duration probation_{};
    time_point probation_ends_{};
    time_point last_ejection_{};
    std::size_t probes_passed_ = 0;
    target_wants wants_;
};

} // namespace pomelohinge

#endif
