#ifndef POMELOHINGE_SERVERS_QUEUEING_DEADLINE_CHOICE_HPP
#define POMELOHINGE_SERVERS_QUEUEING_DEADLINE_CHOICE_HPP

#include "core/identifiers.hpp"
#include "servers/health/target_chart.hpp"
#include "servers/queueing/service_demand.hpp"
#include "servers/queueing/wait_estimate.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace pomelohinge {

/// A target as the decision sees it.
struct target_view
{
    target_state state = target_state::trusted;
    /// Probability that the target currently fails most requests.
    double failure_probability = 0;
    std::int64_t slots = 0;
    /// Slots that are free here and as last reported by the others; 0 if the
    /// target may get no request now.
    std::int64_t free_slots = 0;
    /// Requests in flight from here.
    std::int64_t in_flight = 0;
    /// Free slots that the others know of as well.
    std::int64_t free_slots_known_elsewhere = 0;
    /// Requests per slot if one more were sent; doubled for a cold target.
    double load = 0;
    bool accepts_requests = false;
    bool local = false;
    /// A request has reached it recently.
    bool in_use = false;
    /// No request is in flight to it from any VM, and its path is open.
    bool is_idle = false;
    bool last_failed = false;
    /// It fails most requests, not just one.
    bool is_confirmed = false;
    /// Delay after a failure until the target may have recovered.
    duration recovery_delay{};
    /// Time since the latest observation, and since a request reached it. Both
    /// are reduced by a part that differs between VMs, so that they do not all
    /// choose the same target before they have heard of each other.
    duration unobserved_for{};
    duration unused_for{};
    /// 0 to 1; the lower, the more this thread prefers the target to others.
    double affinity_cost = 0;

    /// Whether requests that must succeed go there: it is trusted, or has
    /// recovered as far as its latest answer shows.
    bool is_trusted() const;
};

/// The state of the service that the decision depends on.
struct service_view
{
    /// Share of the targets that stay in use.
    double floor = 0;
    /// More than a tenth of the requests fail.
    bool is_failing = false;
    /// Estimated share of the targets that fail at any time.
    double failing_share = 0;
    /// This thread's part of the fleet's requests, 0 to 1.
    double share = 1;
    /// Part of a slot, 0 to 1, that a thread may exceed its part of the slots
    /// by. It differs between threads and changes with time, so that parts of
    /// one slot or two are used as well.
    double rounding = 0;
    /// Place of this thread among those that send to the same targets, 0 to 1.
    double circle_position = 0;
    /// No VM of this data centre takes requests, so those of others probe.
    bool probes_elsewhere = false;
};

/// What the decision knows of a request.
struct request_view
{
    route_id route;
    std::int64_t priority = 0;
    bool retryable = false;
    /// It was sent to a target before.
    bool is_retry = false;
    /// Until when an answer is of full use, and of some use.
    time_point goal_at{};
    time_point deadline_at{};
    /// Its priority gets far less than its share, so nothing is kept free from
    /// it.
    bool is_starved = false;
    /// Queued requests that go before it, and whether none of them could take
    /// the slot that it may get.
    std::size_t ahead = 0;
    bool is_next = true;
};

/// Why the decision chose a target.
enum class choice_cause {
    trusted,
    probe,
    floor,
    /// Success there is more likely than in the queue.
    better_than_waiting,
};

/// The index of the chosen target among the views.
struct target_choice
{
    std::size_t position = 0;
    choice_cause cause = choice_cause::trusted;
};

/// Which targets one request excludes, as indices of views.
using excluded_targets = std::vector<std::size_t>;

/// The decision of `placement_mode::by_deadline` for one service: whether a
/// request takes a trusted slot, probes a target, goes to one that may fail, or
/// waits. This is the only place that decides which requests probe and which
/// are sent for the floor.
class deadline_choice
{
public:
    /// Sets the targets; a decision refers to them by index. `targets` gets the
    /// previous ones, so that their memory is used again.
    void set_targets(std::vector<target_view>& targets,
        service_demand const& load, service_view const& service,
        time_point now);

    /// Records that a request goes to the target at `position`.
    void take(std::size_t position);

    /// The target of a request, or none if it has to wait.
    /// `connected` tells whether an idle connection to a target is open.
    template <class Connected>
    std::optional<target_choice> choose(request_view const& request,
        excluded_targets const& excluded, Connected const& connected,
        std::mt19937_64& random)
    {
        find_special_targets();
        if (!request.is_retry) {
            if (auto const it = choose_probe(request))
                return it;
            if (auto const it = choose_for_floor(request))
                return it;
        }
        if (may_take_trusted(request))
            if (auto const it =
                    choose_trusted(request, excluded, connected, random))
                return target_choice{*it, choice_cause::trusted};
        return choose_better_than_waiting(request, excluded);
    }

    /// Probability that the request is answered in time: by its goal with full
    /// weight, by its deadline with that of a late answer.
    double chance_of_waiting(request_view const& request) const;

    /// Probability that the request is served in time, by waiting or at once.
    double chance_in_time(request_view const& request) const;

    /// Expected time until the request gets a trusted slot.
    duration expected_wait(request_view const& request) const;

    /// Latest time at which the request may be sent with an answer by `at`.
    time_point latest_start(request_view const& request, time_point at) const;

    /// Whether any request can get a target now.
    bool has_room()
    {
        find_special_targets();
        return free_trusted_ > 0 || probe_ || costly_probe_ || floor_target_ ||
            untrusted_;
    }

private:
    std::optional<target_choice> choose_probe(
        request_view const& request) const;
    std::optional<target_choice> choose_for_floor(
        request_view const& request) const;
    std::optional<target_choice> choose_better_than_waiting(
        request_view const& request, excluded_targets const& excluded) const;
    bool may_probe(request_view const& request) const;
    bool is_probe_due(target_view const& it, bool retryable) const;
    bool may_take_trusted(request_view const& request) const;
    void set_affinities();
    bool is_crowded() const;
    double own_part(double slots) const;
    double kept_free(
        request_view const& request, double slots, double share) const;
    double slots_per_second(request_view const& request) const;
    wait_estimate wait_of(request_view const& request) const;
    double chance_within(request_view const& request, time_point at) const;
    void summarise();
    void find_special_targets();
    bool needs_floor() const;
    bool has_too_few_trusted() const;
    double collision_cost(target_view const& it) const;
    double cost_of(target_view const& it, request_view const& request,
        std::mt19937_64& random) const;

    static bool contains(excluded_targets const& excluded, std::size_t at);

    template <class Connected>
    std::optional<std::size_t> choose_trusted(request_view const& request,
        excluded_targets const& excluded, Connected const& connected,
        std::mt19937_64& random)
    {
        costs_.clear();
        double lowest = max_cost;
        for (std::size_t at = 0; at < targets_.size(); ++at) {
            auto const& it = targets_[at];
            if (it.free_slots <= 0 || !it.is_trusted() ||
                contains(excluded, at))
                continue;
            auto const cost = cost_of(it, request, random);
            costs_.push_back({cost, at});
            lowest = std::min(lowest, cost);
        }
        // Only targets whose cost can be the lowest with an open connection are
        // asked for one, since each question is a look-up.
        std::optional<std::size_t> best;
        double best_cost = max_cost;
        for (auto const& [cost, at] : costs_) {
            if (cost >= lowest + connect_cost)
                continue;
            auto const total = cost + (connected(at) ? 0 : connect_cost);
            if (total < best_cost) {
                best_cost = total;
                best = at;
            }
        }
        return best;
    }

    static constexpr double max_cost = 1e9;
    /// Cost of opening a connection, in units of load.
    static constexpr double connect_cost = 0.05;

    std::vector<target_view> targets_;
    bool has_special_targets_ = false;
    service_view service_;
    service_demand const* load_ = nullptr;
    time_point now_{};
    double trusted_slots_ = 0;
    double busy_trusted_ = 0;
    double free_trusted_ = 0;
    /// Requests in flight from here to trusted targets.
    double own_trusted_ = 0;
    /// The same for targets that are not trusted.
    double untrusted_slots_ = 0;
    double own_untrusted_ = 0;
    double free_known_elsewhere_ = 0;
    /// Mean failure probability of the trusted slots.
    double trusted_failure_ = 0;
    /// Requests that the others are expected to start before their next report,
    /// for each free slot that they know of.
    double crowding_ = 0;
    /// The targets that are due for a probe by a request that may be repeated,
    /// and by one that must run once; and the one that the floor needs.
    std::optional<std::size_t> probe_;
    std::optional<std::size_t> costly_probe_;
    std::optional<std::size_t> floor_target_;
    std::optional<std::size_t> unused_trusted_;
    /// The target with the highest chance of success among those that are not
    /// trusted.
    std::optional<std::size_t> untrusted_;
    std::vector<std::pair<double, std::size_t>> costs_;
};

} // namespace pomelohinge

#endif
