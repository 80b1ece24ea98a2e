#include "servers/dispatch/dispatcher.hpp"

#include "core/invariant.hpp"
#include "core/log.hpp"
#include "servers/selection/cold_senders.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Number of simultaneously late attempts at one target from which on they
/// count as a failure of the target.
constexpr std::int64_t late_attempts_threshold = 2;

/// A change that other VMs report is logged by the VMs that have sent the
/// target a request within this time.
constexpr duration log_window = std::chrono::seconds(5);

/// Weight of one request in the moving average of failed requests.
constexpr double failure_rate_weight = 0.01;

/// The share of failing targets is estimated over this time, in steps.
constexpr duration failing_share_period = std::chrono::seconds(8);
constexpr duration failing_share_step = std::chrono::milliseconds(500);

/// Bounds of the estimated share of failing targets.
constexpr double min_failing_share = 0.05;
constexpr double max_failing_share = 0.5;

/// How long a target that leaves is remembered when it is not listed.
constexpr duration leaving_retention = std::chrono::minutes(2);

target_event event_of(attempt_result result)
{
    switch (result) {
    case attempt_result::answered:
        return target_event::answered;
    case attempt_result::connect_failed:
    case attempt_result::timed_out:
        return target_event::silent;
    case attempt_result::kept_connection_lost:
        return target_event::dropped;
    default:
        return target_event::faulted;
    }
}

/// Whether the result of an attempt is an observation of the target's health.
bool is_observation(attempt_result result)
{
    return result != attempt_result::cancelled &&
        result != attempt_result::misdirected &&
        result != attempt_result::too_large;
}

/// Logs that the path is now closed, or works again.
void log_path(traffic_target const& target, path_state before)
{
    auto const state = target.path().state();
    bool const closes =
        state == path_state::closed && before != path_state::closed;
    bool const opens = state == path_state::open &&
        (before == path_state::closed || before == path_state::on_trial);
    if (closes || opens)
        log(log_event::target_path_changed,
            {{"target", target.record().id.text()}, {"state", to_name(state)}});
}

} // namespace

dispatcher::dispatcher(target_charts const& charts, vm_id self,
    data_centre_id data_centre, std::uint64_t seed, connected_check connected)
    : charts_(charts), self_(std::move(self)),
      data_centre_(std::move(data_centre)), connected_(std::move(connected)),
      random_(seed), spread_seed_(seed)
{
}

// Updates of the targets.

void dispatcher::adopt(policy_pointer const& next, time_point now)
{
    policy_ = next;
    std::map<target_id, std::unique_ptr<traffic_target>> targets;
    targets_.merge(unlisted_);
    for (auto const& record : next->targets->records()) {
        auto const existing = targets_.find(record.id);
        bool const same = existing != targets_.end() &&
            existing->second->record().incarnation == record.incarnation;
        auto it = same ? std::move(existing->second)
                       : std::make_unique<traffic_target>(record, charts_);
        it->set_record(record);
        it->set_accepts_requests(next->accepts_requests(record));
        auto const leaving = leaving_.find(record.id);
        if (leaving != leaving_.end() &&
            leaving->second.incarnation == record.incarnation)
            it->set_leaving();
        targets.emplace(record.id, std::move(it));
    }
    std::erase_if(targets_, [&](auto const& it) {
        return it.second == nullptr || targets.contains(it.first) ||
            it.second->in_flight() <= 0;
    });
    unlisted_ = std::exchange(targets_, std::move(targets));
    rebuild_services();
    local_entries_ = static_cast<std::size_t>(std::count_if(
        next->members->begin(), next->members->end(), [&](auto const& it) {
            return it.entry && it.alive &&
                it.record.data_centre == data_centre_;
        }));
    std::visit([&](auto& rules) { rules.adopted(*this); }, rules_);
    set_cold_rates(now);
    serve_queues(now);
    deliver_decisions();
}

void dispatcher::rebuild_services()
{
    for (auto& [name, it] : services_) {
        it.targets.clear();
        it.canaries.clear();
    }
    for (auto& [id, it] : targets_) {
        auto& service = state_of(it->record().service);
        bool const is_canary =
            policy_->role_of(it->record()) == rollout_role::canary;
        (is_canary ? service.canaries : service.targets).push_back(it.get());
    }
    for (auto& [name, it] : services_) {
        set_canary_share(name, it);
        update_below_floor(it);
    }
}

/// The first of a share's requests is due at a random time, so that the share
/// is exact over many threads with few requests each.
void dispatcher::set_canary_share(
    std::string const& name, service_state& service)
{
    auto const* const rollout = policy_->rollouts == nullptr
        ? nullptr
        : policy_->rollouts->find(service_id(name));
    auto const share = rollout == nullptr ? 0.0 : rollout->share;
    if (service.canary_share == 0 && share > 0)
        service.canaries_due =
            std::uniform_real_distribution<double>(0, 1)(random_);
    service.canary_share = share;
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
    for (auto const* targets : {&targets_, &unlisted_}) {
        auto const it = targets->find(target.id);
        if (it != targets->end() &&
            it->second->record().incarnation == target.incarnation)
            return it->second.get();
    }
    return nullptr;
}

traffic_target const* dispatcher::find(target_id const& id) const
{
    auto const it = targets_.find(id);
    return it == targets_.end() ? nullptr : it->second.get();
}

void dispatcher::apply_report(traffic_report const& others, time_point now)
{
    std::visit(
        [&](auto& rules) { rules.reported(*this, others, now); }, rules_);
    for (auto& [id, it] : targets_) {
        auto const reported = others.targets.find(id.text());
        if (reported == others.targets.end()) {
            it->set_in_flight_elsewhere(0);
            continue;
        }
        it->set_in_flight_elsewhere(reported->second.in_flight);
        auto const before = it->health().state();
        auto const path_before = it->path().state();
        if (before != target_state::trusted &&
            reported->second.has_observations() && it->health().failures() == 1)
            baselines_.add_confirmation(
                it->record().service, reported->second.faults > 0);
        it->record_report(
            reported->second, baselines_.baseline(it->record().service), now);
        log_path(*it, path_before);
        bool const matters = now - it->last_started_at() < log_window;
        if (matters && it->health().state() != before)
            log(log_event::target_state_changed,
                {{"target", id.text()},
                    {"state", to_name(it->health().state())},
                    {"source", "report"}, {"faults", reported->second.faults},
                    {"silences", reported->second.silences}});
    }
    for (auto& [name, it] : services_)
        update_below_floor(it);
    serve_queues(now);
    deliver_decisions();
}

void dispatcher::add_holding_time(
    service_id const& service, route_id const& route, duration held)
{
    std::visit([&](auto& rules) { rules.held(state_of(service), route, held); },
        rules_);
}

void dispatcher::set_placement(placement_settings const& it)
{
    switch (it.mode) {
    case placement_mode::earliest:
        rules_.emplace<earliest_rules>();
        return;
    case placement_mode::by_deadline:
        rules_.emplace<deadline_rules>();
        return;
    }
}

// Observations.

void dispatcher::record_observation(
    traffic_target& target, target_event event, time_point now)
{
    // Only the first of several silences is evidence about the target; the
    // others more likely have the same cause on the path.
    if (event == target_event::silent &&
        target.path().state() != path_state::open)
        return;
    auto const before = target.health().state();
    auto const& service = target.record().service;
    bool const is_failure = event != target_event::answered;
    // Targets that may be failing do not count towards the service's baseline.
    if (before == target_state::trusted)
        baselines_.add_attempt(service, is_failure);
    else if (target.health().failures() == 1)
        baselines_.add_confirmation(service, is_failure);
    target.health().record_attempt(event, baselines_.baseline(service), now);
    report_due_ |= is_failure && target.health().state() != before;
    switch (event) {
    case target_event::answered:
        ++target.pending_report().answers;
        break;
    case target_event::faulted:
        ++target.pending_report().faults;
        break;
    case target_event::silent:
    case target_event::dropped:
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
            {"observation", to_name(event)}});
    update_below_floor(state_of(target.record().service));
}

void dispatcher::record_path(traffic_target& target, attempt_result result,
    time_point sent_at, time_point now)
{
    auto const before = target.path().state();
    if (reaches_target(result))
        target.record_reached(sent_at, now);
    else if (event_of(result) == target_event::silent)
        target.path().record_silence(now);
    log_path(target, before);
}

void dispatcher::record_replacement(
    traffic_target& target, attempt_result result, time_point now)
{
    auto& replacement = target.replacement();
    auto const before = replacement.state();
    if (result == attempt_result::misdirected)
        replacement.record_misdirected(now);
    else if (has_answer(result))
        replacement.record_answer(now);
    if (replacement.state() == before)
        return;
    log(log_event::target_replaced,
        {{"target", target.record().id.text()},
            {"state", to_name(replacement.state())}});
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

/// The estimate is the mean failure probability of the targets. One without
/// observations has the estimate itself as its probability, so it does not move
/// the mean.
void dispatcher::update_failing_share(service_state& service, time_point now)
{
    auto const elapsed = now - service.failing_share_updated_at;
    if (service.targets.empty() || elapsed < failing_share_step)
        return;
    double sum = 0;
    for (auto const* it : service.targets)
        sum += it->health().failure_probability_at(now);
    auto const mean = sum / static_cast<double>(service.targets.size());
    auto& share = service.failing_share;
    if (share == 0)
        share = min_failing_share;
    auto const weight =
        std::min(1.0, to_seconds(elapsed) / to_seconds(failing_share_period));
    share = std::clamp(
        share + (mean - share) * weight, min_failing_share, max_failing_share);
    service.failing_share_updated_at = now;
    for (auto* it : service.targets)
        it->health().set_failing_share(share, now);
}

void dispatcher::record_notice(
    target_record const& target, target_notice const& notice, time_point now)
{
    auto* const it = find_current(target);
    if (it == nullptr)
        return;
    if (notice.leaving && !it->is_leaving()) {
        it->set_leaving();
        leaving_[target.id] = {target.incarnation, now};
        log(log_event::target_leaving, {{"target", target.id.text()}});
    }
    if (notice.unreadable && it->is_first_unreadable_notice())
        log(log_event::target_notice_unreadable,
            {{"target", target.id.text()}});
    if (!notice.pause)
        return;
    it->pause().record_asked(*notice.pause, now);
    log(log_event::target_paused,
        {{"target", target.id.text()}, {"ms", to_milliseconds(*notice.pause)}});
}

void dispatcher::attempt_ended(target_record const& target,
    attempt_result result, duration latency, time_point now,
    target_notice const& notice)
{
    end_attempt(target, result, latency, now, notice);
    deliver_decisions();
}

void dispatcher::end_attempt(target_record const& target, attempt_result result,
    duration latency, time_point now, target_notice const& notice)
{
    auto& service = state_of(target.service);
    service.completions.add(now);
    if (auto* const it = find_current(target)) {
        it->request_ended();
        std::visit([&](auto& rules) { rules.ended(service, *it, result, now); },
            rules_);
        if (!notice.empty())
            record_notice(target, notice, now);
        if (has_answer(result))
            it->pause().record_answer(now);
        record_replacement(*it, result, now);
        bool const is_full = result == attempt_result::shed &&
            std::visit(
                [&](auto& rules) { return rules.shed(*it, now); }, rules_);
        if (is_observation(result) && !is_full)
            record_observation(*it, event_of(result), now);
        record_path(*it, result, now - latency, now);
    }
    if (result == attempt_result::answered)
        baselines_.add_latency(target.service, latency);
    serve_queue(service, now);
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

placement dispatcher::place(choice const& chosen, service_state& service,
    placement_request const& request, time_point now)
{
    auto& target = *chosen.target;
    check_invariant(invariant::closed_target_gets_no_work,
        target.accepts_requests(), target.record().id.text());
    check_invariant(invariant::paused_target_gets_no_work,
        target.pause().allows(target.in_flight()), target.record().id.text());
    placement_reason const reason{chosen.cause, target.health().state(),
        target.in_flight(), target.in_flight_elsewhere(),
        service.targets.size(), target.record().data_centre == data_centre_};
    if (chosen.cause == placement_cause::canary)
        service.canaries_due -= 1;
    if (transfer_ != nullptr && !reason.local)
        transfer_->record_sent(request.service.text(),
            target.record().data_centre.text(), request.bytes);
    target.request_started(now);
    bool const is_served = std::visit(
        [&](auto& rules) { return rules.counts_as_served(target); }, rules_);
    if (is_served)
        service.queue.add_start(request.priority, now);
    return {target.record(), reason};
}

void dispatcher::request_ended(service_id const& service, bool succeeded,
    std::optional<target_state> last_state)
{
    if (!succeeded && last_state && *last_state != target_state::trusted)
        return;
    auto& failure_rate = state_of(service).failure_rate;
    failure_rate +=
        ((succeeded ? 0.0 : 1.0) - failure_rate) * failure_rate_weight;
}

void dispatcher::tick(time_point now)
{
    for (auto& [id, it] : targets_) {
        auto const before = it->health().state();
        bool const accepted = it->accepts_requests();
        it->health().tick(now);
        it->path().tick(now);
        it->pause().tick(now);
        it->replacement().tick(now);
        if (it->health().state() != before ||
            it->accepts_requests() != accepted)
            update_below_floor(state_of(it->record().service));
    }
    forget_leaving(now);
    for (auto& [name, it] : services_)
        update_failing_share(it, now);
    serve_queues(now);
    deliver_decisions();
}

void dispatcher::forget_leaving(time_point now)
{
    std::erase_if(leaving_, [&](auto const& it) {
        return now - it.second.said_at > leaving_retention &&
            !targets_.contains(it.first);
    });
}

text_map<target_report> dispatcher::take_reports()
{
    report_capacity();
    text_map<target_report> reports;
    for (auto& [id, it] : targets_) {
        auto report = it->take_report();
        if (!report.empty())
            reports.emplace(id.text(), report);
    }
    return reports;
}

} // namespace pomelohinge
