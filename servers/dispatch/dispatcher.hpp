#ifndef POMELOHINGE_SERVERS_DISPATCH_DISPATCHER_HPP
#define POMELOHINGE_SERVERS_DISPATCH_DISPATCHER_HPP

#include "config/placement_settings.hpp"
#include "core/text_map.hpp"
#include "servers/dispatch/traffic_target.hpp"
#include "servers/dispatch/wait_queue.hpp"
#include "servers/limits/organisation_limits.hpp"
#include "servers/queueing/deadline_choice.hpp"
#include "servers/queueing/load_share.hpp"
#include "servers/queueing/placement_rules.hpp"
#include "servers/requests/attempt.hpp"
#include "servers/requests/policy.hpp"
#include "servers/selection/picker.hpp"
#include "servers/selection/service_baselines.hpp"
#include "servers/transfer/transfer.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace pomelohinge {

/// Why a request is rejected.
enum class rejection_reason {
    /// The service has no target that may get the request.
    no_target,
    /// All targets are at their limit, and the request has passed its start
    /// deadline or is not expected to start by then.
    overloaded,
};

template <>
inline constexpr auto
    name_table<rejection_reason> = make_name_table<rejection_reason>({
        {rejection_reason::no_target, "no_target"},
        {rejection_reason::overloaded, "overloaded"},
    });
static_assert(is_ordered<rejection_reason>());

/// The properties of a request that determine its target and its place in the
/// queue.
struct placement_request
{
    service_id service;
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// A failed attempt can be repeated at another target, so the request may
    /// be used to probe a suspect.
    bool retryable = false;
    /// Targets that the request was already sent to; they are excluded.
    std::vector<target_id> tried;
    /// Time until which the request may be sent.
    time_point start_deadline{};
    route_id route;
    /// Until when an answer is of full use, and of some use to the caller.
    time_point goal_at{};
    time_point deadline_at{};
    /// Expected size of the request and its response.
    double bytes = 0;
};

/// Whether the request was already sent to the target.
inline bool was_tried(placement_request const& request, target_id const& target)
{
    return std::find(request.tried.begin(), request.tried.end(), target) !=
        request.tried.end();
}

/// Why a target was chosen.
enum class placement_cause {
    /// It has the lowest cost of load, distance and failure probability.
    lowest_cost,
    /// The request shows whether a target that has failed works again.
    probe,
    /// The target was unused for long, and the floor keeps it in use.
    floor,
    /// The request failed elsewhere, so it goes to a target in use.
    retry,
    /// Too few targets are not ejected, so ejected ones are used as well.
    below_floor,
    /// The request shows how a version that is rolled out works.
    canary,
    /// The target may fail, but waiting for a trusted one is less likely to
    /// succeed.
    better_than_waiting,
};

template <>
inline constexpr auto
    name_table<placement_cause> = make_name_table<placement_cause>({
        {placement_cause::lowest_cost, "lowest_cost"},
        {placement_cause::probe, "probe"},
        {placement_cause::floor, "floor"},
        {placement_cause::retry, "retry"},
        {placement_cause::below_floor, "below_floor"},
        {placement_cause::canary, "canary"},
        {placement_cause::better_than_waiting, "better_than_waiting"},
    });
static_assert(is_ordered<placement_cause>());

/// State of the chosen target before the request was sent, for the log.
struct placement_reason
{
    placement_cause cause = placement_cause::lowest_cost;
    target_state state = target_state::trusted;
    /// Requests in flight from this thread, and from other threads and VMs.
    std::int64_t in_flight = 0;
    std::int64_t in_flight_elsewhere = 0;
    /// Number of the service's targets.
    std::size_t candidates = 0;
    /// The target is in the data centre of this VM.
    bool local = false;
};

/// The target chosen for a request.
struct placement
{
    target_record target;
    placement_reason reason;
};

/// The decision that a request gets no target.
struct placement_rejection
{
    rejection_reason reason = rejection_reason::no_target;
    /// Estimated time until a target has a free slot.
    duration retry_after{};
};

using placement_decision = std::variant<placement, placement_rejection>;

/// Assigns the requests of one traffic thread to targets. For each service it
/// selects targets, queues requests while no target has capacity, serves the
/// queue by priority, and rejects requests at once if no target is expected to
/// be free in time. This bounds the effects of bursts, of lost data centres
/// and of targets that shed load.
class dispatcher
{
public:
    using decision_callback = std::function<void(placement_decision)>;
    /// Returns whether an idle connection to the address is open.
    using connected_check = std::function<bool(std::string const& address)>;

    dispatcher(target_charts const& charts, vm_id self,
        data_centre_id data_centre, std::uint64_t seed,
        connected_check connected);

    /// Applies the targets and members of a new policy. The state of a target
    /// is kept as long as its incarnation stays the same.
    void adopt(policy_pointer const& next, time_point now);

    /// Applies the merged reports of the other VMs.
    void apply_report(traffic_report const& others, time_point now);

    /// Requests a target. Returns a decision, or the ticket of the queued
    /// request. `on_decision` is called only for a queued request: once, unless
    /// the request is withdrawn before. It may call any function of this class,
    /// and is never called while another callback runs.
    std::variant<placement_decision, ticket> submit(placement_request request,
        decision_callback on_decision, time_point now);

    /// Returns a target for a request that is not queued if there is none;
    /// empty if no target has capacity or queued requests go before it.
    std::optional<placement> reserve(
        placement_request const& request, time_point now);

    /// Removes a queued request, or frees its target if it has been placed but
    /// its callback has not been called yet. Does nothing otherwise.
    void withdraw(ticket id, time_point now);

    /// Records the end of an attempt at a target that was assigned, and what
    /// the target says of itself in the answer.
    void attempt_ended(target_record const& target, attempt_result result,
        duration latency, time_point now, target_notice const& notice = {});

    /// Records what a target says of itself in an answer to this thread or to
    /// another one of this VM. It concerns the incarnation in `target` only.
    void record_notice(target_record const& target, target_notice const& notice,
        time_point now);

    /// Records that an attempt is late. Several attempts that are late at the
    /// same time count as a failure of the target.
    void attempt_late(target_record const& target, time_point now);

    /// Records the end of a late attempt.
    void late_attempt_ended(target_record const& target);

    /// Records that an attempt has been unanswered long enough to count as a
    /// failure of the target by itself.
    void attempt_overdue(target_record const& target, time_point now);

    /// Periodic maintenance: updates the health of the targets and serves the
    /// queues.
    void tick(time_point now);

    /// Records the end of a request that was submitted; `succeeded` is whether
    /// the upstream answered without a server error, and `last_state` the state
    /// of the last target when it was chosen, if the request was sent to any.
    void request_ended(service_id const& service, bool succeeded,
        std::optional<target_state> last_state);

    /// Whether a failure has changed the state of a target since the last
    /// call, so that a report should be sent to the other VMs at once.
    bool take_report_due() { return std::exchange(report_due_, false); }

    /// Returns this thread's reports since the last call, by target id.
    text_map<target_report> take_reports();

    /// Median latency of answers; zero until there are enough of them.
    duration median_latency(service_id const& service) const
    {
        return baselines_.baseline(service).median_latency;
    }

    std::size_t queue_length() const { return queued_requests_.size(); }

    /// Sets the minimum share of a service's targets that stay in use, however
    /// many are suspected; 0 to 1.
    void set_floor(double share) { floor_ = share; }

    /// Sets the rules by which requests get targets. Called before the first
    /// request.
    void set_placement(placement_settings const& it);

    /// Records the time for which an answered attempt of a route held its slot.
    void add_holding_time(
        service_id const& service, route_id const& route, duration held);
    /// Sets the decision which requests go to other data centres. Without it
    /// all may, at a constant cost.
    void set_transfer(transfer& decision) { transfer_ = &decision; }

    /// Returns the state of a target; null if the target is unknown.
    traffic_target const* find(target_id const& id) const;

private:
    struct service_state
    {
        std::vector<traffic_target*> targets;
        /// Targets of a version on trial; none of them is in `targets`.
        std::vector<traffic_target*> canaries;
        /// Share of the requests that `canaries` get, and how many of them are
        /// due.
        double canary_share = 0;
        double canaries_due = 0;
        wait_queue queue;
        rate_meter completions;
        /// The share of targets that are not ejected is below the floor, so
        /// ejected targets are used when the others have no capacity.
        bool is_below_floor = false;
        /// Moving average of the share of requests that failed. Failures at
        /// targets that were known to fail do not count.
        double failure_rate = 0;
        /// Estimated share of the targets that fail at any time.
        double failing_share = 0;
        time_point failing_share_updated_at{};
        /// When a request that may be repeated was last submitted.
        time_point last_retryable_at{};
        /// Recent priorities with the time of their last request. Requests of
        /// any but the most urgent one may be used as probes.
        std::map<std::int64_t, time_point> priorities;
        service_demand load;
    };

    struct leaving_target
    {
        std::uint64_t incarnation = 0;
        time_point said_at{};
    };

    struct queued_request
    {
        placement_request request;
        decision_callback on_decision;
    };

    /// A decision whose callback has not been called yet.
    struct pending_decision
    {
        ticket id = 0;
        placement_decision decision;
        decision_callback on_decision;
    };

    service_state& state_of(service_id const& service)
    {
        return services_[service.text()];
    }
    traffic_target* find_current(target_record const& target);
    void rebuild_services();
    void set_canary_share(std::string const& name, service_state& service);
    void set_cold_rates(time_point now);
    void set_circle_position();
    void record_observation(
        traffic_target& target, target_event event, time_point now);
    void record_path(traffic_target& target, attempt_result result,
        time_point sent_at, time_point now);
    void record_replacement(
        traffic_target& target, attempt_result result, time_point now);
    void update_below_floor(service_state& service);
    void update_failing_share(service_state& service, time_point now);

    /// A chosen target, or none.
    struct choice
    {
        traffic_target* target = nullptr;
        placement_cause cause = placement_cause::lowest_cost;
    };

    /// Until when a request stays in the queue, with the keys of its order.
    using admission = std::variant<placement_rejection, wait_queue::entry>;

    /// The rules of `placement_mode::earliest`.
    struct earliest_rules
    {
        void arrived(service_state&, placement_request const&, time_point) {}
        void adopted(dispatcher&) {}
        void reported(dispatcher&, traffic_report const&, time_point) {}
        void ended(service_state&, traffic_target&, attempt_result, time_point)
        {
        }
        void held(service_state&, route_id const&, duration) {}
        bool shed(traffic_target&, time_point) { return false; }
        bool counts_as_served(traffic_target const&) const { return true; }
        bool is_first(service_state const& service,
            placement_request const& request, time_point now) const;
        choice choose(dispatcher& owner, service_state& service,
            placement_request const& request, time_point now);
        admission admit(dispatcher& owner, service_state& service,
            placement_request const& request, time_point now);
        void serve(dispatcher& owner, service_state& service, time_point now);
    };

    /// The rules of `placement_mode::by_deadline`. They describe the targets to
    /// `deadline_choice`, which decides.
    struct deadline_rules
    {
        void arrived(service_state& service, placement_request const& request,
            time_point now);
        void adopted(dispatcher& owner) { owner.set_circle_position(); }
        /// Counts the attempts that others report as ended.
        void reported(
            dispatcher& owner, traffic_report const& others, time_point now);
        void ended(service_state& service, traffic_target& target,
            attempt_result result, time_point now);
        void held(service_state& service, route_id const& route, duration held)
        {
            service.load.add_holding_time(route, held);
        }
        bool shed(traffic_target& target, time_point now);
        /// A priority of which only requests to targets that may fail are left
        /// is starved as well.
        bool counts_as_served(traffic_target const& target) const
        {
            return target.health().state() == target_state::trusted;
        }
        bool is_first(
            service_state const&, placement_request const&, time_point) const
        {
            return true;
        }
        choice choose(dispatcher& owner, service_state& service,
            placement_request const& request, time_point now);
        admission admit(dispatcher& owner, service_state& service,
            placement_request const& request, time_point now);
        void serve(dispatcher& owner, service_state& service, time_point now);

    private:
        void describe(
            dispatcher& owner, service_state& service, time_point now);
        target_view view_of(dispatcher& owner, traffic_target& target,
            service_baseline const& baseline, time_point now) const;
        request_view view_of(placement_request const& request,
            std::optional<std::int64_t> starved_priority) const;
        wait_queue::entry entry_of(
            request_view const& request, time_point now) const;
        std::size_t count_ahead(service_state const& service,
            wait_queue::entry const& entry, std::optional<std::int64_t> starved,
            time_point now) const;
        choice choose_described(dispatcher& owner, service_state& service,
            placement_request const& request, request_view const& view);

        deadline_choice decision_;
        std::vector<target_view> views_;
        /// A request that excludes no target.
        placement_request untried_;
        excluded_targets excluded_;
    };
    friend struct earliest_rules;
    friend struct deadline_rules;

    template <class Rules>
    std::variant<placement_decision, ticket> submit_by(Rules& rules,
        service_state& service, placement_request request,
        decision_callback on_decision, time_point now);

    choice choose(service_state& service, placement_request const& request,
        time_point now);
    traffic_target* choose_canary(service_state& service,
        placement_request const& request, time_point now);
    traffic_target* choose_target_to_probe(service_state& service,
        placement_request const& request, time_point now);
    traffic_target* choose_for_floor(service_state& service,
        placement_request const& request, time_point now);
    double baseline_failure_rate(service_id const& service) const
    {
        return baselines_.baseline(service).failure_rate;
    }
    bool has_too_few_trusted(service_state const& service) const;
    double confirmation_rate(service_id const& service) const
    {
        return baselines_.baseline(service).confirmation_rate;
    }
    bool is_most_urgent(
        service_state& service, std::int64_t priority, time_point now);
    traffic_target* choose_suspect_to_probe(service_state& service,
        placement_request const& request, time_point now);
    traffic_target* choose_up_to(target_state worst, bool only_in_use,
        service_state& service, placement_request const& request,
        time_point now);
    void drop_distant_candidates(
        placement_request const& request, time_point now);
    void report_capacity();
    bool has_targets_here(service_state const& service) const;
    bool has_transfer() const
    {
        return transfer_ != nullptr && transfer_->enabled();
    }
    bool can_take(traffic_target& target, placement_request const& request,
        time_point now) const;
    bool has_eligible_target(
        service_state const& service, placement_request const& request) const;
    void forget_leaving(time_point now);
    placement_rejection reject_without_target(service_state const& service,
        placement_request const& request, time_point now) const;
    placement place(choice const& chosen, service_state& service,
        placement_request const& request, time_point now);
    duration expected_wait(service_state const& service, service_id const& name,
        std::size_t ahead, time_point now) const;

    void end_attempt(target_record const& target, attempt_result result,
        duration latency, time_point now, target_notice const& notice);
    void serve_queue(service_state& service, time_point now);
    void place_queued(ticket id, choice const& chosen, service_state& service,
        time_point now);
    void serve_queues(time_point now);
    void reject_expired(service_state& service, time_point now);
    void add_decision(ticket id, placement_decision decision);
    void deliver_decisions();

    target_charts const& charts_;
    vm_id self_;
    data_centre_id data_centre_;
    connected_check connected_;
    std::mt19937_64 random_;
    health_and_load_picker picker_;
    std::variant<earliest_rules, deadline_rules> rules_;
    /// Makes the threads' choices of targets to probe differ.
    std::uint64_t spread_seed_ = 0;
    load_share share_;
    /// Place of this thread among the entries of its data centre, 0 to 1.
    double circle_position_ = 0;
    double floor_ = 0;
    transfer* transfer_ = nullptr;
    bool report_due_ = false;
    policy_pointer policy_;
    std::size_t local_entries_ = 1;
    std::map<target_id, std::unique_ptr<traffic_target>> targets_;
    /// Targets that left the list with attempts in flight. Kept until these
    /// have ended, since the list may contain the target again.
    std::map<target_id, std::unique_ptr<traffic_target>> unlisted_;
    /// Targets that have said that they shut down. Kept when they leave the
    /// list, since an older list may bring them back.
    std::map<target_id, leaving_target> leaving_;
    /// Its elements do not move, so references to them stay valid.
    std::unordered_map<std::string, service_state> services_;
    service_baselines baselines_;
    std::map<ticket, queued_request> queued_requests_;
    std::deque<pending_decision> decisions_;
    bool is_delivering_ = false;
    ticket last_ticket_ = 0;
    std::vector<candidate> candidates_;
    std::vector<traffic_target*> eligible_;
};

} // namespace pomelohinge

#endif
