#include "servers/queueing/deadline_choice.hpp"

#include "servers/selection/placement_limits.hpp"

#include <array>
#include <cmath>
#include <utility>

namespace pomelohinge {
namespace {

/// Costs in units of load, as in `health_and_load_picker`.
constexpr double distance_cost = 1;
constexpr double failure_cost = 3.75;
constexpr double probe_threshold = 0.25;
constexpr double min_noise = 0.08;

/// Weight of an answer after the goal, against one within it. Callers value a
/// late answer at a tenth to a half.
constexpr double late_weight = 0.3;

/// Cost of a free slot that others are sure to take as well: a request is shed
/// and sent again.
constexpr double max_collision_cost = 2;

/// Range of the cost by which each thread prefers other targets than the others
/// do, while free slots are crowded. It exceeds all differences of load: with a
/// range of 2, many threads sent to the target that had become free last.
constexpr double max_affinity_cost = 20;

/// The same, as a part of the chance of success at targets that are not
/// trusted.
constexpr double max_affinity_chance = 1;

/// Assumed holding time of a service until one is measured.
constexpr duration assumed_holding = std::chrono::milliseconds(250);

/// Highest chance of success at a target that failed last and has not had the
/// time to recover: failing targets fail 75 to 85% of their requests.
constexpr double recovering_chance = 0.2;

/// Free slots are crowded if the others are expected to take more than this
/// part of them before their next report.
constexpr double crowded = 0.3;

/// Part of the trusted slots that is divided among the threads. The rest lets
/// those find a free slot that have less than their part.
constexpr double divided_part = 0.9;

/// Standard deviations of the number of slots that more urgent requests need
/// which are kept free for them.
constexpr double kept_deviations = 1;

/// Largest part of the trusted slots that is kept free.
constexpr double max_kept_share = 0.5;

/// Least part of the slots that come free which less urgent requests count on,
/// however many more urgent ones arrive.
constexpr double min_slots_share = 0.05;

double success_chance(target_view const& it)
{
    auto const chance = 1 - it.failure_probability;
    bool const is_recovering =
        it.last_failed && it.unobserved_for < it.recovery_delay;
    return is_recovering ? std::min(chance, recovering_chance) : chance;
}

/// Chance of success at a target that is not trusted, of which the requests in
/// flight to it have not told more yet: it is more likely to fail them all.
double first_success_chance(target_view const& it)
{
    auto const in_flight = std::max<std::int64_t>(it.slots - it.free_slots, 0);
    return success_chance(it) / static_cast<double>(1 + in_flight);
}

} // namespace

bool target_view::is_trusted() const
{
    return state == target_state::trusted ||
        (state == target_state::suspect && !last_failed &&
            failure_probability < probe_threshold);
}

void deadline_choice::set_targets(std::vector<target_view>& targets,
    service_demand const& load, service_view const& service, time_point now)
{
    targets_.swap(targets);
    load_ = &load;
    service_ = service;
    now_ = now;
    summarise();
    has_special_targets_ = false;
}

void deadline_choice::take(std::size_t position)
{
    auto& it = targets_[position];
    --it.free_slots;
    it.free_slots_known_elsewhere =
        std::min(it.free_slots_known_elsewhere, it.free_slots);
    ++it.in_flight;
    it.is_idle = false;
    it.in_use = true;
    it.load += 1 / static_cast<double>(std::max<std::int64_t>(it.slots, 1));
    if (it.is_trusted()) {
        --free_trusted_;
        ++busy_trusted_;
        ++own_trusted_;
    } else {
        ++own_untrusted_;
    }
    has_special_targets_ = false;
}

void deadline_choice::summarise()
{
    trusted_slots_ = busy_trusted_ = free_trusted_ = own_trusted_ = 0;
    free_known_elsewhere_ = trusted_failure_ = 0;
    untrusted_slots_ = own_untrusted_ = untrusted_success_ = 0;
    for (auto const& it : targets_) {
        if (!it.accepts_requests)
            continue;
        auto const slots = static_cast<double>(it.slots);
        auto const free = static_cast<double>(it.free_slots);
        if (!it.is_trusted()) {
            untrusted_slots_ += slots;
            untrusted_success_ += success_chance(it) * slots;
            own_untrusted_ += static_cast<double>(it.in_flight);
            continue;
        }
        trusted_slots_ += slots;
        free_trusted_ += free;
        busy_trusted_ += slots - free;
        own_trusted_ += static_cast<double>(it.in_flight);
        trusted_failure_ += it.failure_probability * slots;
        free_known_elsewhere_ +=
            static_cast<double>(it.free_slots_known_elsewhere);
    }
    if (trusted_slots_ > 0)
        trusted_failure_ /= trusted_slots_;
    if (untrusted_slots_ > 0)
        untrusted_success_ /= untrusted_slots_;
    set_affinities();
    crowding_ = load_->starts_elsewhere(now_) * to_seconds(report_period) /
        std::max(free_known_elsewhere_, 1.0);
}

/// Threads and targets stand evenly on circles: one of the trusted targets
/// here, one of those in other data centres, and the same of the others. A
/// thread prefers targets that are near it.
void deadline_choice::set_affinities()
{
    struct circle
    {
        double targets = 0;
        double rank = 0.5;
    };
    std::array<circle, 4> circles;
    auto const circle_of = [&](target_view const& it) -> circle& {
        return circles[(it.is_trusted() ? 2U : 0U) + (it.local ? 1U : 0U)];
    };
    for (auto const& it : targets_)
        if (it.accepts_requests)
            ++circle_of(it).targets;
    for (auto& it : targets_) {
        if (!it.accepts_requests)
            continue;
        auto& on = circle_of(it);
        auto const distance =
            std::abs(on.rank++ / on.targets - service_.circle_position);
        it.affinity_cost = 2 * std::min(distance, 1 - distance);
    }
}

/// Whether the others are expected to take a large part of the free slots that
/// are known here before their next report.
bool deadline_choice::is_crowded() const
{
    return crowding_ > crowded;
}

/// This thread's part of a number of slots.
double deadline_choice::own_part(double slots) const
{
    return std::max(1.0, divided_part * slots * service_.share);
}

bool deadline_choice::is_probe_due(target_view const& it, bool retryable) const
{
    if (it.free_slots <= 0 || it.is_trusted())
        return false;
    // One answer of a target that failed is not enough to trust it. The next
    // requests follow at once, or a target that works again has no load for
    // seconds.
    if (!it.is_idle)
        return false;
    if (retryable && !it.last_failed)
        return it.unobserved_for >= duration::zero();
    if (retryable) {
        auto const delay = it.is_confirmed
            ? it.recovery_delay / repeatable_probe_divisor
            : duration::zero();
        return it.state == target_state::suspect &&
            it.unobserved_for >=
            (service_.is_failing ? std::min<duration>(delay, max_probe_delay)
                                 : delay);
    }
    return it.unobserved_for >=
        (service_.is_failing
                ? std::min<duration>(it.recovery_delay, max_probe_delay)
                : it.recovery_delay);
}

/// Whether the local trusted targets are fewer than the floor needs of those
/// that work, as far as the estimated share of failing ones tells.
bool deadline_choice::has_too_few_trusted() const
{
    double available = 0;
    double trusted = 0;
    for (auto const& it : targets_) {
        if (!it.accepts_requests || !it.local)
            continue;
        ++available;
        trusted += it.is_trusted() ? 1 : 0;
    }
    return trusted < (service_.floor + floor_margin) *
        (1 - service_.failing_share) * available;
}

/// Whether the targets in use are fewer than the floor needs. Each target
/// counts with the probability that it works, since the floor concerns those.
bool deadline_choice::needs_floor() const
{
    double working = 0;
    double used = 0;
    for (auto const& it : targets_) {
        if (!it.accepts_requests || !it.local)
            continue;
        auto const weight = 1 - it.failure_probability;
        working += weight;
        used += it.in_use ? weight : 0;
    }
    return used < (service_.floor + floor_margin) * working;
}

void deadline_choice::find_special_targets()
{
    if (std::exchange(has_special_targets_, true))
        return;
    probe_.reset();
    costly_probe_.reset();
    floor_target_.reset();
    unused_trusted_.reset();
    untrusted_.reset();
    bool const needs_floor_now = service_.is_failing && needs_floor();
    bool const has_prober = load_->has_prober(now_);
    bool const needs_probes =
        !has_prober && (service_.is_failing || has_too_few_trusted());
    auto const raise = [](std::optional<std::size_t>& best, std::size_t at,
                           auto const& value) {
        if (!best || value(at) > value(*best))
            best = at;
    };
    auto const unobserved = [&](std::size_t at) {
        return targets_[at].unobserved_for;
    };
    auto const unused = [&](std::size_t at) {
        return targets_[at].unused_for;
    };
    auto const chance = [&](std::size_t at) {
        return untrusted_value(targets_[at]);
    };
    for (std::size_t at = 0; at < targets_.size(); ++at) {
        auto const& it = targets_[at];
        if (it.free_slots <= 0)
            continue;
        bool const may_probe = it.local || service_.probes_elsewhere;
        if (it.is_trusted()) {
            if (it.local && !it.in_use && it.is_idle &&
                !(it.last_failed && it.unobserved_for < it.recovery_delay))
                raise(unused_trusted_, at, unused);
            continue;
        }
        raise(untrusted_, at, chance);
        if (may_probe && is_probe_due(it, true))
            raise(probe_, at, unobserved);
        if (may_probe && needs_probes && is_probe_due(it, false))
            raise(costly_probe_, at, unobserved);
        if (needs_floor_now && it.local && !it.in_use && it.is_idle)
            raise(floor_target_, at, chance);
    }
}

/// Whether a failed attempt leaves the request the time for another one within
/// its goal.
bool deadline_choice::may_probe(request_view const& request) const
{
    return request.retryable &&
        load_->has_time_to_repeat(request.route, request.goal_at - now_);
}

/// A request that may be repeated probes, long ones first, since they lose the
/// least part of their time. Requests that must run once probe only for a
/// service without others, and the most urgent of several priorities never do.
std::optional<target_choice> deadline_choice::choose_probe(
    request_view const& request) const
{
    if (probe_ && may_probe(request) &&
        !load_->has_longer_retryable(request.route, now_))
        return target_choice{*probe_, choice_cause::probe};
    if (costly_probe_ && !load_->is_most_urgent(request.priority, now_))
        return target_choice{*costly_probe_, choice_cause::probe};
    return std::nullopt;
}

std::optional<target_choice> deadline_choice::choose_for_floor(
    request_view const& request) const
{
    if (unused_trusted_)
        return target_choice{*unused_trusted_, choice_cause::floor};
    bool const is_suitable = load_->has_retryable(now_)
        ? request.retryable
        : !load_->is_most_urgent(request.priority, now_);
    if (floor_target_ && is_suitable)
        return target_choice{*floor_target_, choice_cause::floor};
    return std::nullopt;
}

/// Slots that stay free for more urgent requests, of `slots` that serve a part
/// `share` of them. Their mean need is met by the slots that they hold already
/// and that come free; what has to be free are the deviations from it.
double deadline_choice::kept_free(
    request_view const& request, double slots, double share) const
{
    if (request.is_starved)
        return 0;
    auto const need = load_->more_urgent_slots(request.priority, now_) / share;
    return std::min(kept_deviations * std::sqrt(need), slots * max_kept_share);
}

/// While the slots are crowded, what others have taken is known too late to
/// share them, and each thread keeps to its own part of them.
bool deadline_choice::may_take_trusted(request_view const& request) const
{
    if (!request.is_next ||
        free_trusted_ <= kept_free(request, trusted_slots_, service_.share))
        return false;
    if (!is_crowded())
        return true;
    auto const slots = own_part(trusted_slots_);
    return own_trusted_ + 1 + kept_free(request, slots, 1) <=
        slots + service_.rounding;
}

double deadline_choice::slots_per_second(request_view const& request) const
{
    auto const holding = load_->mean_holding() > duration::zero()
        ? load_->mean_holding()
        : assumed_holding;
    auto const rate = trusted_slots_ == 0
        ? 0
        : std::max(load_->trusted_ends(now_),
              busy_trusted_ / to_seconds(holding) * service_.share);
    auto const taken = request.is_starved
        ? 0
        : load_->more_urgent_arrivals(request.priority, now_);
    return std::max(rate - taken, rate * min_slots_share);
}

wait_estimate deadline_choice::wait_of(request_view const& request) const
{
    return {slots_per_second(request), request.ahead};
}

time_point deadline_choice::latest_start(
    request_view const& request, time_point at) const
{
    return at - load_->holding(request.route).median();
}

double deadline_choice::chance_within(
    request_view const& request, time_point at) const
{
    return (1 - trusted_failure_) *
        wait_of(request).chance_within(latest_start(request, at) - now_);
}

double deadline_choice::chance_of_waiting(request_view const& request) const
{
    auto const in_goal = chance_within(request, request.goal_at);
    auto const in_time = chance_within(request, request.deadline_at);
    return in_goal + late_weight * std::max(0.0, in_time - in_goal);
}

/// While a service is overloaded, requests that can reach their goal go first,
/// so one that misses it in the queue is hardly served any more.
double deadline_choice::chance_in_time(
    request_view const& request, excluded_targets const& excluded) const
{
    bool const can_reach_goal = now_ < latest_start(request, request.goal_at);
    auto const waiting = chance_within(
        request, can_reach_goal ? request.goal_at : request.deadline_at);
    if (trusted_slots_ == 0 && untrusted_slots_ > 0)
        return chance_at_suspects(
            request, can_reach_goal ? request.goal_at : request.deadline_at);
    auto const untrusted = usable_untrusted(excluded);
    // Those behind the first one would wait for slots that come free there.
    bool const may_start =
        untrusted && (request.ahead == 0 || !exceeds_untrusted_part());
    auto const at_once =
        may_start ? first_success_chance(targets_[*untrusted]) : 0.0;
    return std::max(waiting, at_once);
}

duration deadline_choice::expected_wait(request_view const& request) const
{
    return wait_of(request).expected();
}

std::optional<target_choice> deadline_choice::choose_better_than_waiting(
    request_view const& request, excluded_targets const& excluded) const
{
    auto const at = usable_untrusted(excluded);
    if (!at || exceeds_untrusted_part() ||
        first_success_chance(targets_[*at]) <= chance_of_waiting(request))
        return std::nullopt;
    return target_choice{*at, choice_cause::better_than_waiting};
}

/// The target that is not trusted with the highest value that a request may go
/// to: those of other data centres only if no target is trusted.
std::optional<std::size_t> deadline_choice::usable_untrusted(
    excluded_targets const& excluded) const
{
    auto best = untrusted_;
    if (best && contains(excluded, *best)) {
        best.reset();
        for (std::size_t at = 0; at < targets_.size(); ++at) {
            auto const& it = targets_[at];
            if (it.free_slots > 0 && !it.is_trusted() &&
                !contains(excluded, at) &&
                (!best ||
                    untrusted_value(it) > untrusted_value(targets_[*best])))
                best = at;
        }
    }
    return best && (targets_[*best].local || trusted_slots_ == 0)
        ? best
        : std::nullopt;
}

/// Chance of success by `at` if no target is trusted: of the wait for any slot,
/// and of the request there.
double deadline_choice::chance_at_suspects(
    request_view const& request, time_point at) const
{
    auto const holding = load_->mean_holding() > duration::zero()
        ? load_->mean_holding()
        : assumed_holding;
    wait_estimate const wait{
        untrusted_slots_ / to_seconds(holding) * service_.share, request.ahead};
    return untrusted_success_ *
        wait.chance_within(latest_start(request, at) - now_);
}

/// Whether this thread holds its part of the slots of targets that are not
/// trusted.
bool deadline_choice::exceeds_untrusted_part() const
{
    return is_crowded() &&
        own_untrusted_ + 1 > own_part(untrusted_slots_) + service_.rounding;
}

/// Chance of success, less the costs of collisions and distance.
double deadline_choice::untrusted_value(target_view const& it) const
{
    return first_success_chance(it) -
        max_affinity_chance * std::min(1.0, crowding_) * it.affinity_cost -
        (it.local ? 0 : distance_cost);
}

/// Expected cost of a target whose slots all know to be free: others may take
/// them before requests from here are known there, the less the nearer it is on
/// the circle. Slots that came free here are not known to the others yet.
double deadline_choice::collision_cost(target_view const& it) const
{
    if (it.free_slots > it.free_slots_known_elsewhere)
        return 0;
    return (max_collision_cost + max_affinity_cost * it.affinity_cost) *
        std::min(1.0, crowding_);
}

double deadline_choice::cost_of(target_view const& it,
    request_view const& request, std::mt19937_64& random) const
{
    std::uniform_real_distribution<double> draw(0, min_noise);
    bool const probes =
        request.retryable && it.failure_probability < probe_threshold;
    // No local target costs more than one elsewhere because others prefer it.
    auto const remote_cost = distance_cost +
        (max_collision_cost + max_affinity_cost) * std::min(1.0, crowding_);
    return it.load + collision_cost(it) + (it.local ? 0 : remote_cost) +
        (probes ? -it.failure_probability
                : failure_cost * it.failure_probability) +
        draw(random);
}

bool deadline_choice::contains(excluded_targets const& excluded, std::size_t at)
{
    return std::find(excluded.begin(), excluded.end(), at) != excluded.end();
}

} // namespace pomelohinge
