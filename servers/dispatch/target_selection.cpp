#include "servers/dispatch/dispatcher.hpp"

#include "servers/selection/placement_limits.hpp"

#include <algorithm>
#include <tuple>

/// Selection of the target for a request.
namespace pomelohinge {
namespace {

/// Others hear of the use of a target within this time.
constexpr duration report_delay = std::chrono::milliseconds(600);

/// Counts how many of a set of targets are in use, and finds the unused target
/// with the lowest failure probability.
struct target_use
{
    double available = 0;
    double used = 0;
    traffic_target* healthiest = nullptr;

    /// Counts a target. `free` points to it if it is unused and can take the
    /// request now, and is null otherwise.
    void count(bool in_use, traffic_target* free, time_point now)
    {
        ++available;
        used += in_use ? 1 : 0;
        if (free == nullptr)
            return;
        if (healthiest == nullptr ||
            free->health().failure_probability_at(now) <
                healthiest->health().failure_probability_at(now))
            healthiest = free;
    }

    /// Whether the share of targets in use is below `share` and an unused
    /// target can take the request.
    bool is_below(double share) const
    {
        return healthiest != nullptr && used < share * available;
    }
};

} // namespace

/// Whether the target may get this request now, whatever its health.
bool dispatcher::can_take(traffic_target& target,
    placement_request const& request, time_point now) const
{
    return target.accepts_requests() &&
        target.path().allows(target.in_flight()) &&
        target.pause().allows(target.in_flight()) &&
        target.replacement().allows(target.in_flight()) &&
        !was_tried(request, target.record().id) && target.has_capacity(now);
}

bool dispatcher::has_eligible_target(
    service_state const& service, placement_request const& request) const
{
    return std::any_of(
        service.targets.begin(), service.targets.end(), [&](auto const* it) {
            return it->accepts_requests() &&
                it->path().state() != path_state::closed &&
                (it->pause().state() != pause_state::paused ||
                    it->pause().ends_at() <= request.start_deadline) &&
                !was_tried(request, it->record().id);
        });
}

traffic_target* dispatcher::choose_suspect_to_probe(
    service_state& service, placement_request const& request, time_point now)
{
    if (!request.retryable)
        return nullptr;
    auto const baseline = baselines_.baseline(request.service);
    traffic_target* found = nullptr;
    for (auto* it : service.targets) {
        auto const delay = it->health().is_confirmed(baseline)
            ? it->health().recovery_delay(baseline) / repeatable_probe_divisor
            : duration::zero();
        bool const is_eligible = it->in_flight() == 0 &&
            it->in_flight_elsewhere() == 0 &&
            it->path().state() == path_state::open &&
            it->health().state() == target_state::suspect &&
            now - it->health().last_observed_at() >= delay &&
            can_take(*it, request, now);
        if (!is_eligible)
            continue;
        bool const local = it->record().data_centre == data_centre_;
        if (local)
            return it;
        found = found == nullptr ? it : found;
    }
    // Suspects of other data centres are probed by the entries there.
    return local_entries_ == 0 ? found : nullptr;
}

/// Returns a target of a version on trial if a request for it is due: a sound
/// one with the lowest load, of this data centre if there is any. One that has
/// failed gets single requests, and none for as long as it is ejected.
traffic_target* dispatcher::choose_canary(
    service_state& service, placement_request const& request, time_point now)
{
    if (service.canaries_due < 1 || !request.tried.empty())
        return nullptr;
    auto const cost = [&](traffic_target const& it) {
        return std::tuple(it.health().state(),
            it.record().data_centre != data_centre_,
            it.load_with_one_more(now));
    };
    traffic_target* found = nullptr;
    for (auto* it : service.canaries) {
        bool const is_eligible =
            (it->health().state() == target_state::trusted ||
                (it->health().state() == target_state::suspect &&
                    it->in_flight() == 0)) &&
            can_take(*it, request, now);
        if (is_eligible && (found == nullptr || cost(*it) < cost(*found)))
            found = it;
    }
    return found;
}

/// Whether the trusted local targets are fewer than the floor requires of those
/// that work, as far as the estimated share of failing targets tells.
bool dispatcher::has_too_few_trusted(service_state const& service) const
{
    double available = 0;
    double trusted = 0;
    for (auto const* it : service.targets) {
        if (!it->accepts_requests() || it->record().data_centre != data_centre_)
            continue;
        ++available;
        trusted += it->health().state() == target_state::trusted ? 1 : 0;
    }
    return trusted <
        (floor_ + floor_margin) * (1 - service.failing_share) * available;
}

/// Returns the local target that is due for a probe and has not been observed
/// for the longest time, if any. Requests that may be repeated are better
/// probes (see `choose_suspect_to_probe`); for services without them, less
/// urgent requests are the probes while too few targets are trusted.
traffic_target* dispatcher::choose_target_to_probe(
    service_state& service, placement_request const& request, time_point now)
{
    bool const is_failing = service.failure_rate > failing_service_threshold;
    bool const has_better_probes =
        now - service.last_retryable_at < retryable_expiry;
    bool const is_needed =
        is_failing || (!has_better_probes && has_too_few_trusted(service));
    if (is_most_urgent(service, request.priority, now) || !is_needed)
        return nullptr;
    auto const baseline = baselines_.baseline(request.service);
    traffic_target* least_recent = nullptr;
    for (auto* it : service.targets) {
        auto const recovery_delay = it->health().recovery_delay(baseline);
        auto const delay = is_failing
            ? std::min<duration>(max_probe_delay, recovery_delay)
            : recovery_delay;
        bool const is_eligible = it->in_flight() == 0 &&
            it->in_flight_elsewhere() == 0 &&
            it->path().state() == path_state::open &&
            it->health().state() != target_state::trusted &&
            it->record().data_centre == data_centre_ &&
            now - it->health().last_observed_at() > delay &&
            can_take(*it, request, now);
        if (is_eligible &&
            (least_recent == nullptr ||
                it->health().last_observed_at() <
                    least_recent->health().last_observed_at()))
            least_recent = it;
    }
    return least_recent;
}

/// Returns an unused local target. Every trusted one stays in use, since any of
/// them may be among the few that work while the others are disturbed; the rest
/// stays in use up to `floor_margin` above the floor. The picker alone uses
/// only a few targets at low load, since it prefers those that answered most
/// recently.
traffic_target* dispatcher::choose_for_floor(
    service_state& service, placement_request const& request, time_point now)
{
    target_use all;
    traffic_target* longest_unused = nullptr;
    time_point earliest{};
    std::uniform_int_distribution<duration::rep> jitter(
        0, report_delay.count());
    auto const baseline = baselines_.baseline(request.service);
    for (auto* it : service.targets) {
        if (!it->accepts_requests() || it->record().data_centre != data_centre_)
            continue;
        bool const in_use = it->is_in_use(use_window, now);
        bool const is_free = !in_use &&
            it->path().state() == path_state::open &&
            can_take(*it, request, now);
        auto* const free = is_free ? it : nullptr;
        all.count(in_use, free, now);
        if (free == nullptr || it->health().state() != target_state::trusted ||
            it->health().is_recovering(baseline, now))
            continue;
        // Otherwise all entries would choose the same target until their
        // reports are exchanged.
        auto const since = it->last_reached_at() + duration(jitter(random_));
        if (longest_unused == nullptr || since < earliest) {
            longest_unused = it;
            earliest = since;
        }
    }
    if (longest_unused != nullptr)
        return longest_unused;
    if (!all.is_below(floor_ + floor_margin) ||
        service.failure_rate <= failing_service_threshold)
        return nullptr;
    return is_most_urgent(service, request.priority, now) ? nullptr
                                                          : all.healthiest;
}

/// Records a request of `priority`, and returns whether that is the most urgent
/// of several recent priorities. Requests of the most urgent priority are not
/// used as probes. If there is only one recent priority, all its requests may
/// be probes.
bool dispatcher::is_most_urgent(
    service_state& service, std::int64_t priority, time_point now)
{
    service.priorities[priority] = now;
    std::erase_if(service.priorities,
        [&](auto const& it) { return now - it.second > priority_expiry; });
    return service.priorities.size() > 1 &&
        service.priorities.begin()->first == priority;
}

/// Lets the picker choose among the targets with a free slot whose state is
/// `worst` or a better one, and which are in use if `only_in_use`.
traffic_target* dispatcher::choose_up_to(target_state worst, bool only_in_use,
    service_state& service, placement_request const& request, time_point now)
{
    candidates_.clear();
    eligible_.clear();
    for (auto* it : service.targets) {
        if (it->health().state() > worst || !can_take(*it, request, now) ||
            (only_in_use && now - it->last_reached_at() >= use_window))
            continue;
        candidates_.push_back({eligible_.size(), it->load_with_one_more(now),
            it->record().data_centre == data_centre_,
            it->health().failure_probability_at(now),
            connected_(it->record().address)});
        eligible_.push_back(it);
    }
    drop_distant_candidates(request, now);
    auto const at =
        picker_.pick(candidates_, pick_context{request.retryable}, random_);
    return at ? eligible_[candidates_[*at].position] : nullptr;
}

dispatcher::choice dispatcher::choose(
    service_state& service, placement_request const& request, time_point now)
{
    if (auto* const it = choose_canary(service, request, now))
        return {it, placement_cause::canary};
    if (request.tried.empty()) {
        if (auto* const it = choose_suspect_to_probe(service, request, now))
            return {it, placement_cause::probe};
        if (auto* const it = choose_target_to_probe(service, request, now))
            return {it, placement_cause::probe};
        if (auto* const it = choose_for_floor(service, request, now))
            return {it, placement_cause::floor};
    } else if (auto* const it = choose_up_to(
                   target_state::suspect, true, service, request, now)) {
        return {it, placement_cause::retry};
    }
    if (auto* const it =
            choose_up_to(target_state::suspect, false, service, request, now))
        return {it, placement_cause::lowest_cost};
    if (!service.is_below_floor)
        return {};
    return {choose_up_to(target_state::ejected, false, service, request, now),
        placement_cause::below_floor};
}

} // namespace pomelohinge
