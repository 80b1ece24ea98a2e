#include "servers/dispatch/dispatcher.hpp"

#include "core/log.hpp"
#include "servers/selection/cold_senders.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Assumed latency of a service until its median latency is known.
constexpr duration assumed_latency = std::chrono::milliseconds(250);

/// Number of simultaneously late attempts at one target from which on they
/// count as a failure of the target.
constexpr std::int64_t late_attempts_threshold = 2;

/// A target that is not trusted and was not observed for this long is probed
/// with a request that is not of the most urgent priority. The shorter delay
/// applies while the share of failed requests to the service is above
/// `failing_service_threshold`, since every target that may have recovered is
/// needed then.
constexpr duration probe_delay = std::chrono::milliseconds(4000);
constexpr duration short_probe_delay = std::chrono::milliseconds(1300);
constexpr double failing_service_threshold = 0.06;

/// A target counts as in use for this long after the last sign of a request to
/// it. The floor applies to the targets used within two seconds; the remaining
/// 600 ms allow for the delay of reports.
constexpr duration use_window = std::chrono::milliseconds(1400);

/// Added to the floor, because the use of a target by other threads is reported
/// with a delay.
constexpr double floor_margin = 0.1;

/// Weight of one request in the moving average of failed requests.
constexpr double failure_rate_weight = 0.02;

/// A priority without requests for this long does not count as recent.
constexpr duration priority_expiry = std::chrono::seconds(5);

/// Bounds of the retry delay that a rejection carries.
constexpr duration min_retry_after = std::chrono::milliseconds(100);
constexpr duration max_retry_after = std::chrono::seconds(5);

/// Retry delay for a service without any eligible target.
constexpr duration no_target_retry_after = std::chrono::seconds(1);

bool was_tried(placement_request const& request, target_id const& target)
{
    return std::find(request.tried.begin(), request.tried.end(), target) !=
        request.tried.end();
}

target_event event_of(attempt_result result)
{
    switch (result) {
    case attempt_result::answered:
        return target_event::answered;
    case attempt_result::connect_failed:
    case attempt_result::timed_out:
        return target_event::silent;
    default:
        return target_event::faulted;
    }
}

/// Whether the result of an attempt is an observation of the target's health.
bool is_observation(attempt_result result)
{
    return result != attempt_result::cancelled &&
        result != attempt_result::misdirected &&
        result != attempt_result::too_large &&
        result != attempt_result::kept_connection_lost;
}

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

dispatcher::dispatcher(chart<target_chart> const& health_chart, vm_id self,
    data_centre_id data_centre, std::uint64_t seed, connected_check connected)
    : health_chart_(health_chart), self_(std::move(self)),
      data_centre_(std::move(data_centre)), connected_(std::move(connected)),
      random_(seed)
{
}

// Updates of the targets.

void dispatcher::adopt(policy_pointer const& next, time_point now)
{
    policy_ = next;
    std::map<target_id, std::unique_ptr<traffic_target>> targets;
    for (auto const& record : next->targets->records()) {
        auto const existing = targets_.find(record.id);
        bool const same = existing != targets_.end() &&
            existing->second->record().incarnation == record.incarnation;
        auto it = same
            ? std::move(existing->second)
            : std::make_unique<traffic_target>(record, health_chart_);
        it->set_record(record);
        it->set_accepts_requests(next->accepts_requests(record));
        targets.emplace(record.id, std::move(it));
    }
    targets_ = std::move(targets);
    rebuild_services();
    local_entries_ = static_cast<std::size_t>(std::count_if(
        next->members->begin(), next->members->end(), [&](auto const& it) {
            return it.entry && it.alive &&
                it.record.data_centre == data_centre_;
        }));
    set_cold_rates(now);
    for (auto& [service, it] : services_)
        serve_queue(service_id(service), now);
}

void dispatcher::rebuild_services()
{
    for (auto& [name, it] : services_)
        it.targets.clear();
    for (auto& [id, it] : targets_)
        state_of(it->record().service).targets.push_back(it.get());
    for (auto& [name, it] : services_)
        update_below_floor(it);
}

/// Divides the rate of requests that a cold target can take equally among the
/// VMs that may send to it.
void dispatcher::set_cold_rates(time_point now)
{
    auto const& configured = policy_->index->source;
    for (auto& [id, it] : targets_) {
        auto const* const service =
            configured.find<service_object>(it->record().service.text());
        bool const bounded = service != nullptr &&
            service->cold_requests_per_second > 0 && it->is_cold(now);
        if (!bounded) {
            it->set_cold_rate(std::nullopt, now);
            continue;
        }
        auto const senders = cold_senders(*policy_->members, it->record());
        bool const is_sender =
            std::find(senders.begin(), senders.end(), self_) != senders.end();
        auto const share =
            is_sender ? 1.0 / static_cast<double>(senders.size()) : 0.0;
        it->set_cold_rate(service->cold_requests_per_second * share, now);
    }
}

traffic_target* dispatcher::find_current(target_record const& target)
{
    auto const it = targets_.find(target.id);
    if (it == targets_.end() ||
        it->second->record().incarnation != target.incarnation)
        return nullptr;
    return it->second.get();
}

traffic_target const* dispatcher::find(target_id const& id) const
{
    auto const it = targets_.find(id);
    return it == targets_.end() ? nullptr : it->second.get();
}

void dispatcher::apply_report(traffic_report const& others, time_point now)
{
    for (auto& [id, it] : targets_) {
        auto const reported = others.targets.find(id.text());
        if (reported == others.targets.end()) {
            it->set_in_flight_elsewhere(0, now);
            continue;
        }
        it->set_in_flight_elsewhere(reported->second.in_flight, now);
        auto const before = it->health().state();
        it->health().record_report(
            reported->second, baseline_failure_rate(it->record().service), now);
        if (it->health().state() != before)
            log(log_event::target_state_changed,
                {{"target", id.text()},
                    {"state", to_name(it->health().state())},
                    {"source", "report"}, {"faults", reported->second.faults},
                    {"silences", reported->second.silences}});
    }
    for (auto& [service, it] : services_) {
        update_below_floor(it);
        serve_queue(service_id(service), now);
    }
}

// Observations.

void dispatcher::record_observation(
    traffic_target& target, target_event event, time_point now)
{
    auto const before = target.health().state();
    auto const& service = target.record().service;
    bool const is_failure = event != target_event::answered;
    // Targets that may be failing do not count towards the service's baseline.
    if (before == target_state::trusted)
        baselines_.add_attempt(service, is_failure);
    target.health().record_attempt(event, baseline_failure_rate(service), now);
    report_due_ |= is_failure && target.health().state() != before;
    switch (event) {
    case target_event::answered:
        ++target.pending_report().answers;
        break;
    case target_event::faulted:
        ++target.pending_report().faults;
        break;
    case target_event::silent:
        ++target.pending_report().silences;
        break;
    case target_event::rested:
        break;
    }
    if (target.health().state() == before)
        return;
    log(log_event::target_state_changed,
        {{"target", target.record().id.text()},
            {"state", to_name(target.health().state())}, {"source", "attempt"},
            {"event", to_name(event)}});
    update_below_floor(state_of(target.record().service));
}

void dispatcher::update_below_floor(service_state& service)
{
    std::size_t available = 0;
    std::size_t not_ejected = 0;
    for (auto const* it : service.targets) {
        if (!it->accepts_requests())
            continue;
        ++available;
        if (it->health().state() != target_state::ejected)
            ++not_ejected;
    }
    service.is_below_floor = static_cast<double>(not_ejected) <
        floor_ * static_cast<double>(available);
}

void dispatcher::attempt_ended(target_record const& target,
    attempt_result result, duration latency, time_point now)
{
    auto& service = state_of(target.service);
    service.completions.add(now);
    if (auto* const it = find_current(target)) {
        it->request_ended();
        if (result == attempt_result::misdirected)
            it->set_replaced();
        if (is_observation(result))
            record_observation(*it, event_of(result), now);
    }
    if (result == attempt_result::answered)
        baselines_.add_latency(target.service, latency);
    serve_queue(target.service, now);
}

void dispatcher::attempt_late(target_record const& target, time_point now)
{
    auto* const it = find_current(target);
    if (it == nullptr)
        return;
    it->add_late_attempt();
    if (it->late_attempts() >= late_attempts_threshold)
        record_observation(*it, target_event::silent, now);
}

void dispatcher::late_attempt_ended(target_record const& target)
{
    if (auto* const it = find_current(target))
        it->remove_late_attempt();
}

void dispatcher::attempt_overdue(target_record const& target, time_point now)
{
    if (auto* const it = find_current(target))
        record_observation(*it, target_event::silent, now);
}

// Selection of a target.

bool dispatcher::has_eligible_target(
    service_state const& service, placement_request const& request) const
{
    return std::any_of(
        service.targets.begin(), service.targets.end(), [&](auto const* it) {
            return it->accepts_requests() &&
                !was_tried(request, it->record().id);
        });
}

traffic_target* dispatcher::choose_suspect_to_probe(
    service_state& service, placement_request const& request, time_point now)
{
    if (!request.retryable)
        return nullptr;
    traffic_target* found = nullptr;
    for (auto* it : service.targets) {
        bool const is_eligible = it->accepts_requests() &&
            it->in_flight() == 0 &&
            it->health().state() == target_state::suspect &&
            !was_tried(request, it->record().id) && it->has_capacity(now);
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

/// Returns the local target that is due for a probe and has not been observed
/// for the longest time, if any. `choose_suspect_to_probe` needs retryable
/// requests; for services without them, less urgent requests are the probes.
traffic_target* dispatcher::choose_target_to_probe(
    service_state& service, placement_request const& request, time_point now)
{
    if (is_most_urgent(service, request.priority, now))
        return nullptr;
    auto const delay = service.failure_rate > failing_service_threshold
        ? short_probe_delay
        : probe_delay;
    traffic_target* least_recent = nullptr;
    for (auto* it : service.targets) {
        bool const is_eligible = it->accepts_requests() &&
            it->in_flight() == 0 && it->in_flight_elsewhere() == 0 &&
            it->health().state() != target_state::trusted &&
            it->record().data_centre == data_centre_ &&
            now - it->health().last_observed_at() > delay &&
            !was_tried(request, it->record().id) && it->has_capacity(now);
        if (is_eligible &&
            (least_recent == nullptr ||
                it->health().last_observed_at() <
                    least_recent->health().last_observed_at()))
            least_recent = it;
    }
    return least_recent;
}

/// Returns an unused local target if the share of local targets in use is less
/// than `floor_margin` above the floor. At low load the picker uses only a few
/// targets, since it prefers those that answered most recently and avoids
/// suspects. While many targets are suspected, the ones in use may all be
/// suspects, so the share is also checked for the trusted targets alone.
traffic_target* dispatcher::choose_for_floor(
    service_state& service, placement_request const& request, time_point now)
{
    target_use all;
    target_use trusted;
    for (auto* it : service.targets) {
        if (!it->accepts_requests() || it->record().data_centre != data_centre_)
            continue;
        bool const in_use = now - it->last_used_at() < use_window;
        auto* const free = in_use || was_tried(request, it->record().id) ||
                !it->has_capacity(now)
            ? nullptr
            : it;
        all.count(in_use, free, now);
        if (it->health().state() == target_state::trusted)
            trusted.count(in_use, free, now);
    }
    auto const min_share = floor_ + floor_margin;
    if (trusted.is_below(min_share))
        return trusted.healthiest;
    if (!all.is_below(min_share))
        return nullptr;
    bool const is_untrusted =
        all.healthiest->health().state() != target_state::trusted;
    return is_untrusted && is_most_urgent(service, request.priority, now)
        ? nullptr
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
/// `worst` or a better one.
traffic_target* dispatcher::choose_up_to(target_state worst,
    service_state& service, placement_request const& request, time_point now)
{
    candidates_.clear();
    eligible_.clear();
    for (auto* it : service.targets) {
        if (it->health().state() > worst || !it->accepts_requests() ||
            was_tried(request, it->record().id) || !it->has_capacity(now))
            continue;
        candidates_.push_back({eligible_.size(), it->load_with_one_more(now),
            it->record().data_centre == data_centre_,
            it->health().failure_probability_at(now),
            connected_(it->record().address)});
        eligible_.push_back(it);
    }
    auto const at =
        picker_.pick(candidates_, pick_context{request.retryable}, random_);
    return at ? eligible_[*at] : nullptr;
}

traffic_target* dispatcher::choose(
    service_state& service, placement_request const& request, time_point now)
{
    if (auto* const it = choose_suspect_to_probe(service, request, now))
        return it;
    if (auto* const it = choose_target_to_probe(service, request, now))
        return it;
    if (auto* const it = choose_for_floor(service, request, now))
        return it;
    if (auto* const it =
            choose_up_to(target_state::suspect, service, request, now))
        return it;
    return service.is_below_floor
        ? choose_up_to(target_state::ejected, service, request, now)
        : nullptr;
}

placement dispatcher::place(traffic_target& target, service_state& service,
    placement_request const& request, time_point now)
{
    placement_reason const reason{target.health().state(), target.in_flight(),
        target.in_flight_elsewhere(), service.targets.size(),
        target.record().data_centre == data_centre_};
    target.request_started(now);
    service.queue.add_start(request.priority, now);
    return {target.record(), reason};
}

duration dispatcher::expected_wait(service_state const& service,
    service_id const& name, std::size_t ahead, time_point now) const
{
    double slots = 0;
    for (auto const* it : service.targets)
        if (it->accepts_requests() &&
            it->health().state() != target_state::ejected)
            slots += static_cast<double>(it->record().slots);
    auto const median = median_latency(name);
    auto const latency = median > duration::zero() ? median : assumed_latency;
    // The estimated rate of starts is the recent rate of completions on this
    // thread, but at least half of the rate that one local entry would have if
    // the targets' total rate were divided equally.
    auto const entries =
        static_cast<double>(std::max<std::size_t>(local_entries_, 1));
    auto const equal_share = slots / to_seconds(latency) / entries / 2;
    auto const starts =
        std::max(service.completions.per_second(now), equal_share);
    if (starts <= 0)
        return max_retry_after;
    return from_seconds(static_cast<double>(ahead + 1) / starts);
}

std::variant<placement_decision, ticket> dispatcher::submit(
    placement_request request, decision_callback on_decision, time_point now)
{
    auto& service = state_of(request.service);
    service.queue.add_arrival(request.priority, now);
    if (!has_eligible_target(service, request))
        return placement_decision(placement_rejection{
            rejection_reason::no_target, no_target_retry_after});
    auto const ahead = service.queue.count_ahead_of(request.priority);
    if (ahead == 0)
        if (auto* const it = choose(service, request, now))
            return placement_decision(place(*it, service, request, now));
    auto const wait = expected_wait(service, request.service, ahead, now);
    if (now + wait > request.start_deadline)
        return placement_decision(
            placement_rejection{rejection_reason::overloaded,
                std::clamp(wait, min_retry_after, max_retry_after)});
    auto const id = ++last_ticket_;
    service.queue.add({id, request.priority, now, request.start_deadline});
    queued_requests_.emplace(
        id, queued_request{std::move(request), std::move(on_decision)});
    return id;
}

void dispatcher::withdraw(ticket id)
{
    auto const it = queued_requests_.find(id);
    if (it == queued_requests_.end())
        return;
    state_of(it->second.request.service).queue.remove(id);
    queued_requests_.erase(it);
}

void dispatcher::reject_expired(service_state& service, time_point now)
{
    for (auto const& it : service.queue.take_expired(now)) {
        auto queued = queued_requests_.extract(it.id);
        queued.mapped().on_decision(
            placement_rejection{rejection_reason::overloaded, min_retry_after});
    }
}

void dispatcher::serve_queue(service_id const& name, time_point now)
{
    auto& service = state_of(name);
    if (service.queue.empty())
        return;
    reject_expired(service, now);
    for (auto const& it : service.queue.ordered(now)) {
        auto const queued = queued_requests_.find(it.id);
        if (queued == queued_requests_.end())
            continue;
        auto* const target = choose(service, queued->second.request, now);
        if (target == nullptr) {
            // A request that excludes the targets it was already sent to may
            // find none, while a request behind it finds one.
            if (queued->second.request.tried.empty())
                return;
            continue;
        }
        auto decision = place(*target, service, queued->second.request, now);
        service.queue.remove(it.id);
        auto node = queued_requests_.extract(queued);
        node.mapped().on_decision(std::move(decision));
    }
}

void dispatcher::request_ended(service_id const& service, bool succeeded)
{
    auto& failure_rate = state_of(service).failure_rate;
    failure_rate +=
        ((succeeded ? 0.0 : 1.0) - failure_rate) * failure_rate_weight;
}

void dispatcher::tick(time_point now)
{
    for (auto& [id, it] : targets_) {
        auto const before = it->health().state();
        it->health().tick(now);
        if (it->health().state() != before)
            update_below_floor(state_of(it->record().service));
    }
    std::vector<std::string> names;
    for (auto const& [name, it] : services_)
        if (!it.queue.empty())
            names.push_back(name);
    for (auto const& it : names)
        serve_queue(service_id(it), now);
}

text_map<target_report> dispatcher::take_reports()
{
    text_map<target_report> reports;
    for (auto& [id, it] : targets_) {
        auto report = it->take_report();
        if (!report.empty())
            reports.emplace(id.text(), report);
    }
    return reports;
}

} // namespace pomelohinge
