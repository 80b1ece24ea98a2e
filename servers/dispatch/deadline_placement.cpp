#include "servers/dispatch/dispatcher.hpp"

#include "servers/selection/placement_limits.hpp"

#include <algorithm>

/// Describes the targets and queued requests of a service to `deadline_choice`
/// and carries out what it decides.
namespace pomelohinge {
namespace {

/// A request that is less likely to be served in time is refused at once.
constexpr double min_chance = 0.1;

constexpr duration max_spread = std::chrono::milliseconds(2000);

/// A thread's part of the slots is rounded otherwise after this time.
constexpr duration rounding_period = std::chrono::seconds(4);

/// A target that has shed counts as full for this long at the latest, since the
/// next report may not come while the hub is replaced.
constexpr duration shed_expiry = 2 * report_period;

/// A full target answers other requests. One that sheds more than this many
/// without an answer in between, here or in the reports of others, has a fault.
constexpr std::int64_t max_sheds = 8;

/// A value in [0, 1) that differs between threads and targets, and changes with
/// each observation of the target. The constants are those of SplitMix64.
double spread_of(std::uint64_t seed, time_point at)
{
    auto x = seed ^ static_cast<std::uint64_t>(at.time_since_epoch().count());
    x += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1p-53;
}

/// The start of the period for which the rounding of a thread's part of the
/// slots stays the same.
time_point rounding_period_of(time_point now)
{
    return now - now.time_since_epoch() % rounding_period;
}

placement_cause cause_of(target_choice const& it, bool is_retry)
{
    switch (it.cause) {
    case choice_cause::trusted:
        return is_retry ? placement_cause::retry : placement_cause::lowest_cost;
    case choice_cause::probe:
        return placement_cause::probe;
    case choice_cause::floor:
        return placement_cause::floor;
    case choice_cause::better_than_waiting:
        break;
    }
    return placement_cause::better_than_waiting;
}

/// The order of the queue: starved priorities first, then by priority; those
/// that can still reach their goal before the others, by the latest time at
/// which they have to start; of several, the one that holds its slot for less
/// time.
auto order_key(std::optional<std::int64_t> starved, time_point now)
{
    return [starved, now](wait_queue::entry const& it) {
        return std::tuple(!(starved && it.priority == *starved), it.priority,
            it.goal_start < now, it.goal_start, it.holding, it.id);
    };
}

} // namespace

/// The place of this thread among the entries of its data centre in order of
/// their names; the threads of a VM stand at random places of its part.
void dispatcher::set_circle_position()
{
    std::size_t entries = 0;
    std::size_t before = 0;
    for (auto const& it : *policy_->members) {
        if (!it.entry || !it.alive || it.record.data_centre != data_centre_)
            continue;
        ++entries;
        before += it.record.vm < self_ ? 1 : 0;
    }
    circle_position_ =
        (static_cast<double>(before) + spread_of(spread_seed_, {})) /
        static_cast<double>(std::max<std::size_t>(entries, 1));
}

void dispatcher::deadline_rules::arrived(
    service_state& service, placement_request const& request, time_point now)
{
    if (!request.tried.empty())
        return;
    bool const has_times = request.deadline_at != time_point{};
    service.load.add_arrival(request.route, request.priority, request.retryable,
        (has_times ? request.goal_at : request.start_deadline) - now, now);
}

void dispatcher::deadline_rules::reported(
    dispatcher& owner, traffic_report const& others, time_point now)
{
    owner.share_.set_elsewhere(others.load, others.entries);
    for (auto& [name, it] : owner.services_) {
        double ends = 0;
        for (auto const* target : it.targets) {
            auto const reported =
                others.targets.find(target->record().id.text());
            if (reported != others.targets.end())
                ends += reported->second.answers + reported->second.faults +
                    reported->second.silences;
        }
        it.load.add_report(ends, now);
    }
}

void dispatcher::deadline_rules::ended(service_state& service,
    traffic_target& target, attempt_result result, time_point now)
{
    if (target.health().state() == target_state::trusted &&
        result != attempt_result::shed)
        service.load.add_trusted_end(now);
    if (result == attempt_result::answered)
        target.record_answer();
}

/// Returns whether the target has shed a request since its slots were taken,
/// by requests from elsewhere that were not known here. It then counts as full
/// until the next report. One that sheds with most slots free, or that has
/// answered nobody for many sheds, has a fault.
bool dispatcher::deadline_rules::shed(traffic_target& target, time_point now)
{
    target.record_shed();
    auto const slots = target.record().slots;
    bool const is_full = target.sheds_since_answer() <= max_sheds &&
        (target.is_full(now) ||
            (target.in_flight() + target.in_flight_elsewhere() + 1) * 2 >=
                slots);
    if (is_full)
        target.set_full_until(now + shed_expiry);
    return is_full;
}

target_view dispatcher::deadline_rules::view_of(dispatcher& owner,
    traffic_target& target, service_baseline const& baseline,
    time_point now) const
{
    auto const seed = owner.spread_seed_ + views_.size();
    target_view it;
    auto const& health = target.health();
    auto const in_use = target.in_flight() + target.in_flight_elsewhere();
    bool const is_open = target.path().state() == path_state::open;
    auto const spread = std::min<duration>(
        report_period * owner.share_.entries_elsewhere(), max_spread);
    auto const reduced = [&](time_point at) {
        auto const part = spread_of(seed, at);
        return now - at -
            duration(static_cast<duration::rep>(
                part * static_cast<double>(spread.count())));
    };
    it.state = health.state();
    it.failure_probability = health.failure_probability_at(now);
    it.slots = target.record().slots;
    it.in_flight = target.in_flight();
    it.accepts_requests = target.accepts_requests();
    it.free_slots =
        owner.can_take(target, untried_, now) ? it.slots - in_use : 0;
    it.free_slots_known_elsewhere = std::clamp<std::int64_t>(
        it.slots - target.in_flight_elsewhere() - target.reported_in_flight(),
        0, it.free_slots);
    it.load = target.load_with_one_more(now);
    it.local = target.record().data_centre == owner.data_centre_;
    it.in_use = target.is_in_use(use_window, now);
    it.is_idle = in_use == 0 && is_open;
    it.last_failed = health.last_failed();
    it.is_confirmed = health.is_confirmed(baseline);
    it.recovery_delay = health.recovery_delay(baseline);
    if (it.state != target_state::trusted || it.last_failed)
        it.unobserved_for = reduced(health.last_observed_at());
    if (!it.in_use)
        it.unused_for = reduced(target.last_reached_at());
    return it;
}

void dispatcher::deadline_rules::describe(
    dispatcher& owner, service_state& service, time_point now)
{
    views_.clear();
    if (!service.targets.empty()) {
        auto const baseline = owner.baselines_.baseline(
            service.targets.front()->record().service);
        for (auto* it : service.targets)
            views_.push_back(view_of(owner, *it, baseline, now));
    }
    decision_.set_targets(views_, service.load,
        {owner.floor_, service.failure_rate > failing_service_threshold,
            service.failing_share, owner.share_.at(now),
            spread_of(owner.spread_seed_, rounding_period_of(now)),
            owner.circle_position_, owner.local_entries_ == 0},
        now);
}

request_view dispatcher::deadline_rules::view_of(
    placement_request const& request,
    std::optional<std::int64_t> starved_priority) const
{
    request_view it;
    it.route = request.route;
    it.priority = request.priority;
    it.retryable = request.retryable;
    it.is_retry = !request.tried.empty();
    bool const has_times = request.deadline_at != time_point{};
    it.goal_at = has_times ? request.goal_at : request.start_deadline;
    it.deadline_at = has_times ? request.deadline_at : request.start_deadline;
    it.is_starved = starved_priority == request.priority;
    return it;
}

dispatcher::choice dispatcher::deadline_rules::choose_described(
    dispatcher& owner, service_state& service, placement_request const& request,
    request_view const& view)
{
    excluded_.clear();
    if (!request.tried.empty())
        for (std::size_t at = 0; at < service.targets.size(); ++at)
            if (was_tried(request, service.targets[at]->record().id))
                excluded_.push_back(at);
    auto const connected = [&](std::size_t at) {
        return owner.connected_(service.targets[at]->record().address);
    };
    auto const chosen =
        decision_.choose(view, excluded_, connected, owner.random_);
    if (!chosen)
        return {};
    decision_.take(chosen->position);
    return {
        service.targets[chosen->position], cause_of(*chosen, view.is_retry)};
}

dispatcher::choice dispatcher::deadline_rules::choose(dispatcher& owner,
    service_state& service, placement_request const& request, time_point now)
{
    describe(owner, service, now);
    auto view = view_of(request, service.queue.starved(now));
    auto const entry = entry_of(view, now);
    view.ahead = count_ahead(service, entry, std::nullopt, now);
    view.is_next =
        count_ahead(service, entry, service.queue.starved(now), now) == 0;
    return choose_described(owner, service, request, view);
}

wait_queue::entry dispatcher::deadline_rules::entry_of(
    request_view const& request, time_point now) const
{
    wait_queue::entry it;
    it.id = std::numeric_limits<ticket>::max();
    it.priority = request.priority;
    it.queued_at = now;
    it.start_deadline = decision_.latest_start(request, request.deadline_at);
    it.goal_start = decision_.latest_start(request, request.goal_at);
    it.holding = request.goal_at - it.goal_start;
    return it;
}

std::size_t dispatcher::deadline_rules::count_ahead(
    service_state const& service, wait_queue::entry const& entry,
    std::optional<std::int64_t> starved, time_point now) const
{
    auto const key = order_key(starved, now);
    auto const& entries = service.queue.entries();
    return static_cast<std::size_t>(std::count_if(entries.begin(),
        entries.end(), [&](auto const& it) { return key(it) < key(entry); }));
}

/// Admits a request for which `choose` has just found no target. A starved
/// priority goes first for a few requests only, so its queue is not all ahead.
dispatcher::admission dispatcher::deadline_rules::admit(dispatcher& owner,
    service_state& service, placement_request const& request, time_point now)
{
    auto view = view_of(request, service.queue.starved(now));
    auto const entry = entry_of(view, now);
    view.ahead = count_ahead(service, entry, std::nullopt, now);
    // `excluded_` is that of this request, since `choose` precedes.
    if (decision_.chance_in_time(view, excluded_) >= min_chance)
        return entry;
    std::uniform_real_distribution<double> draw(1, 2);
    auto const wait = from_seconds(
        to_seconds(decision_.expected_wait(view)) * draw(owner.random_));
    return placement_rejection{rejection_reason::overloaded,
        std::clamp<duration>(wait, min_retry_after, max_retry_after)};
}

void dispatcher::deadline_rules::serve(
    dispatcher& owner, service_state& service, time_point now)
{
    describe(owner, service, now);
    std::size_t starved_ahead = 0;
    std::size_t others_ahead = 0;
    bool is_next = true;
    auto const starved = service.queue.starved(now);
    auto const key = order_key(starved, now);
    for (auto const& it : service.queue.ordered_by(key)) {
        if (!decision_.has_room())
            return;
        auto const& request = owner.queued_requests_.at(it.id).request;
        auto view = view_of(request, starved);
        auto& ahead = view.is_starved ? starved_ahead : others_ahead;
        view.ahead = ahead;
        view.is_next = is_next;
        auto const chosen = choose_described(owner, service, request, view);
        if (chosen.target != nullptr) {
            owner.place_queued(it.id, chosen, service, now);
            continue;
        }
        ++ahead;
        // A retry excludes targets, so the next request may find one.
        is_next = is_next && view.is_retry;
    }
}

} // namespace pomelohinge
