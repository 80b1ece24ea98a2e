#ifndef POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_PROCESS_HPP
#define POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_PROCESS_HPP

#include "config/rollout_bounds.hpp"
#include "core/chart.hpp"
#include "servers/rollouts/rollout_decision.hpp"
#include "servers/rollouts/rollout_evidence.hpp"
#include "servers/rollouts/rollout_order.hpp"
#include "servers/rollouts/version_judge.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pomelohinge {

/// A target of the service that is rolled out.
struct rollout_target
{
    target_id id;
    std::int64_t slots = 1;
    /// Requests in flight from all VMs.
    std::int64_t in_flight = 0;
    /// It has the new version.
    bool is_new = false;
};

/// One rollout on the VM that decides on it: gathers evidence, and decides
/// which targets of the new version get how much of the traffic. Its states
/// are those of charts/rollout.jsonc.
class rollout_process
{
public:
    /// `started_at` is the earliest time at which the order can have been
    /// given.
    rollout_process(chart<rollout_chart> const& state_chart,
        rollout_bounds bounds, rollout_order order, time_point started_at);

    rollout_order const& order() const { return order_; }
    rollout_state state() const { return chart_.state(); }
    time_point started_at() const { return started_at_; }

    /// Applies the entry as read from the store, or as just written.
    void read_order(rollout_order const& order);

    /// Another VM that decides has found the version bad.
    void reject() { chart_.fire(rollout_event::judged_bad, *this); }

    /// Another VM knows that the rollout has ended in `state`.
    void end(rollout_state state);

    /// Adds what VMs have reported of this service.
    void add_evidence(rollout_evidence const& evidence, time_point now);

    /// Decides on the targets that serve, those that drain left out.
    void update(std::vector<rollout_target> const& targets, time_point now);

    rollout_decision decision() const;

    /// The status to write to the store, if any.
    std::optional<rollout_status> wanted_status() const;

    version_judge const& judge() const { return judge_; }

    // Interface of the chart.

    bool check(rollout_guard guard);
    void perform(rollout_action action);

private:
    void choose_canaries(
        std::vector<rollout_target> const& targets, time_point now);
    bool is_replaceable(target_id const& target, time_point now) const;
    std::size_t wanted_canaries(
        std::vector<rollout_target> const& targets) const;
    void note_load(std::vector<rollout_target> const& targets, time_point now);
    bool bears_load() const;
    bool has_seen_all_routes() const;
    double allowed_share() const;
    duration settling_time() const;
    time_point switch_due_at() const;
    time_point last_write_at() const;

    chart_instance<rollout_chart> chart_;
    rollout_bounds bounds_;
    rollout_order order_;
    time_point started_at_;
    time_point now_{};
    version_judge judge_;
    /// By route, the answers of the old versions.
    std::map<std::string, evidence_counts> old_answers_;
    /// When the first of them was reported.
    time_point evidence_since_{};

    struct canary
    {
        target_id id;
        time_point chosen_at{};
    };
    std::vector<canary> canaries_;
    /// Targets that seemed disturbed, and when they were replaced.
    std::map<target_id, time_point> replaced_;

    std::int64_t old_slots_ = 0;
    std::int64_t new_slots_ = 0;
    std::int64_t old_in_flight_ = 0;
    /// Recent maximum of the requests in flight at all targets.
    double peak_in_flight_ = 0;
    time_point peak_at_{};
    time_point switched_at_{};
    time_point canary_since_{};
};

} // namespace pomelohinge

#endif
