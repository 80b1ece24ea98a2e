#include "servers/dispatch/dispatcher.hpp"

#include "core/log.hpp"
#include "servers/selection/cold_senders.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Assumed time of an answer until enough were seen.
constexpr duration assumed_latency = std::chrono::milliseconds(250);

/// Late attempts at one target at a time that speak against it.
constexpr std::int64_t late_attempts_for_doubt = 2;

/// A suspected target that nobody has tried for so long is tried by the
/// least urgent request; sooner while many requests to the service fail,
/// when every target that may be well is needed.
constexpr duration long_untried_time = std::chrono::milliseconds(4000);
constexpr duration short_untried_time = std::chrono::milliseconds(1300);
constexpr double failing_service_share = 0.06;

/// A target counts as used for so long after anything was heard of a request
/// there; by the floor's rule it is two seconds, less what reports take.
constexpr duration use_memory = std::chrono::milliseconds(1400);

/// Kept above the floor, since threads see what the others do with delay.
constexpr double floor_margin = 0.1;

/// Weight of one request in the share of those that were not served.
constexpr double unserved_weight = 0.02;

/// A priority that was not asked for so long does not count.
constexpr duration priority_memory = std::chrono::seconds(5);

/// Bounds of what a refusal says about another try.
constexpr duration shortest_retry_after = std::chrono::milliseconds(100);
constexpr duration longest_retry_after = std::chrono::seconds(5);

/// When a service without any target is worth another try.
constexpr duration no_target_retry_after = std::chrono::seconds(1);

bool was_tried(placement_question const& question, target_id const& target)
{
    return std::find(question.tried.begin(), question.tried.end(), target) !=
        question.tried.end();
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

/// Whether the end of an attempt says anything about the target.
bool is_evidence(attempt_result result)
{
    return result != attempt_result::cancelled &&
        result != attempt_result::misdirected &&
        result != attempt_result::too_large &&
        result != attempt_result::kept_connection_lost;
}

/// How many of some targets are in use, and which of the others is the best.
struct target_use
{
    double open = 0;
    double used = 0;
    traffic_target* least_doubted = nullptr;

    /// Counts a target; `free` is the same if it may take the request.
    void count(bool in_use, traffic_target* free, time_point now)
    {
        ++open;
        used += in_use ? 1 : 0;
        if (free == nullptr)
            return;
        if (least_doubted == nullptr ||
            free->health().doubt_at(now) <
                least_doubted->health().doubt_at(now))
            least_doubted = free;
    }

    bool is_below(double share) const
    {
        return least_doubted != nullptr && used < share * open;
    }
};

} // namespace

dispatcher::dispatcher(chart<target_chart> const& rules, vm_id self,
    data_centre_id data_centre, std::uint64_t seed, connected_check connected)
    : rules_(rules), self_(std::move(self)),
      data_centre_(std::move(data_centre)), connected_(std::move(connected)),
      random_(seed)
{
}

// Following the targets.

void dispatcher::adopt(policy_pointer const& next, time_point now)
{
    policy_ = next;
    std::map<target_id, std::unique_ptr<traffic_target>> targets;
    for (auto const& record : next->targets->records()) {
        auto const held = targets_.find(record.id);
        bool const same = held != targets_.end() &&
            held->second->record().incarnation == record.incarnation;
        auto it = same ? std::move(held->second)
                       : std::make_unique<traffic_target>(record, rules_);
        it->set_record(record);
        it->set_open(next->is_open(record));
        targets.emplace(record.id, std::move(it));
    }
    targets_ = std::move(targets);
    rebuild_services();
    near_entries_ = static_cast<std::size_t>(std::count_if(
        next->members->begin(), next->members->end(), [&](auto const& it) {
            return it.entry && it.alive &&
                it.record.data_centre == data_centre_;
        }));
    set_cold_rates(now);
    for (auto& [service, it] : services_)
        pump(service_id(service), now);
}

void dispatcher::rebuild_services()
{
    for (auto& [name, it] : services_)
        it.targets.clear();
    for (auto& [id, it] : targets_)
        state_of(it->record().service).targets.push_back(it.get());
    for (auto& [name, it] : services_)
        check_floor(it);
}

/// The rate that a cold target bears is divided among few senders.
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

traffic_target* dispatcher::current(target_record const& target)
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
        auto const said = others.targets.find(id.text());
        if (said == others.targets.end()) {
            it->set_others(0, now);
            continue;
        }
        it->set_others(said->second.in_flight, now);
        auto const before = it->health().state();
        it->health().reported(
            said->second, usual_failures(it->record().service), now);
        if (it->health().state() != before)
            log(log_event::target_state_changed,
                {{"target", id.text()},
                    {"state", to_name(it->health().state())},
                    {"source", "report"}, {"faults", said->second.faults},
                    {"silences", said->second.silences}});
    }
    for (auto& [service, it] : services_) {
        check_floor(it);
        pump(service_id(service), now);
    }
}

// Evidence.

void dispatcher::note(
    traffic_target& target, target_event event, time_point now)
{
    auto const before = target.health().state();
    auto const& service = target.record().service;
    bool const is_failure = event != target_event::answered;
    // What doubted targets do is not usual.
    if (before == target_state::trusted)
        latencies_.note_end(service, is_failure);
    target.health().attempted(event, usual_failures(service), now);
    report_due_ |= is_failure && target.health().state() != before;
    switch (event) {
    case target_event::answered:
        ++target.news().answers;
        break;
    case target_event::faulted:
        ++target.news().faults;
        break;
    case target_event::silent:
        ++target.news().silences;
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
    check_floor(state_of(target.record().service));
}

void dispatcher::check_floor(service_state& service)
{
    std::size_t open = 0;
    std::size_t used = 0;
    for (auto const* it : service.targets) {
        if (!it->open())
            continue;
        ++open;
        if (it->health().state() != target_state::ejected)
            ++used;
    }
    service.floor_reached =
        static_cast<double>(used) < floor_ * static_cast<double>(open);
}

void dispatcher::ended(target_record const& target, attempt_result result,
    duration latency, time_point now)
{
    auto& service = state_of(target.service);
    service.ends.add(now);
    if (auto* const it = current(target)) {
        it->ended();
        if (result == attempt_result::misdirected)
            it->set_replaced();
        if (is_evidence(result))
            note(*it, event_of(result), now);
    }
    if (result == attempt_result::answered)
        latencies_.add(target.service, latency);
    pump(target.service, now);
}

void dispatcher::late(target_record const& target, time_point now)
{
    auto* const it = current(target);
    if (it == nullptr)
        return;
    it->became_late();
    if (it->late() >= late_attempts_for_doubt)
        note(*it, target_event::silent, now);
}

void dispatcher::late_ended(target_record const& target)
{
    if (auto* const it = current(target))
        it->late_ended();
}

void dispatcher::overdue(target_record const& target, time_point now)
{
    if (auto* const it = current(target))
        note(*it, target_event::silent, now);
}

// Choosing.

bool dispatcher::has_any(
    service_state const& service, placement_question const& question) const
{
    return std::any_of(
        service.targets.begin(), service.targets.end(), [&](auto const* it) {
            return it->open() && !was_tried(question, it->record().id);
        });
}

traffic_target* dispatcher::choose_suspect(
    service_state& service, placement_question const& question, time_point now)
{
    if (!question.repeatable)
        return nullptr;
    traffic_target* found = nullptr;
    for (auto* it : service.targets) {
        bool const wants = it->open() && it->in_flight() == 0 &&
            it->health().state() == target_state::suspect &&
            !was_tried(question, it->record().id) && it->has_room(now);
        if (!wants)
            continue;
        bool const near = it->record().data_centre == data_centre_;
        if (near)
            return it;
        found = found == nullptr ? it : found;
    }
    // Another data centre's suspects are found out about over there.
    return near_entries_ == 0 ? found : nullptr;
}

/// A target that nobody has tried for long, though it is suspected: without
/// requests that may be repeated, one of the less urgent finds out about it.
traffic_target* dispatcher::choose_untried(
    service_state& service, placement_question const& question, time_point now)
{
    if (is_most_urgent(service, question.priority, now))
        return nullptr;
    auto const patience = service.unserved > failing_service_share
        ? short_untried_time
        : long_untried_time;
    traffic_target* longest = nullptr;
    for (auto* it : service.targets) {
        bool const wants = it->open() && it->in_flight() == 0 &&
            it->others() == 0 &&
            it->health().state() != target_state::trusted &&
            it->record().data_centre == data_centre_ &&
            now - it->health().tried_at() > patience &&
            !was_tried(question, it->record().id) && it->has_room(now);
        if (wants &&
            (longest == nullptr ||
                it->health().tried_at() < longest->health().tried_at()))
            longest = it;
    }
    return longest;
}

/// A target that brings the share of those in use above the floor. The load
/// alone leaves few in use when it is low: what has answered just now is
/// preferred, and what is doubted is avoided. Where many are doubted, those
/// in use may be the doubted ones, so trusted targets are counted apart too.
traffic_target* dispatcher::choose_for_floor(
    service_state& service, placement_question const& question, time_point now)
{
    target_use all;
    target_use trusted;
    for (auto* it : service.targets) {
        if (!it->open() || it->record().data_centre != data_centre_)
            continue;
        bool const in_use = now - it->used_at() < use_memory;
        auto* const free =
            in_use || was_tried(question, it->record().id) || !it->has_room(now)
            ? nullptr
            : it;
        all.count(in_use, free, now);
        if (it->health().state() == target_state::trusted)
            trusted.count(in_use, free, now);
    }
    auto const least = floor_ + floor_margin;
    if (trusted.is_below(least))
        return trusted.least_doubted;
    if (!all.is_below(least))
        return nullptr;
    bool const risky =
        all.least_doubted->health().state() != target_state::trusted;
    return risky && is_most_urgent(service, question.priority, now)
        ? nullptr
        : all.least_doubted;
}

/// Whether only more urgent requests than the others lose by a trial; where
/// all are alike, none is.
bool dispatcher::is_most_urgent(
    service_state& service, std::int64_t priority, time_point now)
{
    service.priorities[priority] = now;
    std::erase_if(service.priorities,
        [&](auto const& it) { return now - it.second > priority_memory; });
    return service.priorities.size() > 1 &&
        service.priorities.begin()->first == priority;
}

traffic_target* dispatcher::choose_up_to(target_state worst,
    service_state& service, placement_question const& question, time_point now)
{
    candidates_.clear();
    eligible_.clear();
    for (auto* it : service.targets) {
        if (it->health().state() > worst || !it->open() ||
            was_tried(question, it->record().id) || !it->has_room(now))
            continue;
        candidates_.push_back({eligible_.size(), it->load_with_one_more(now),
            it->record().data_centre == data_centre_,
            it->health().doubt_at(now), connected_(it->record().address)});
        eligible_.push_back(it);
    }
    auto const at =
        picker_.pick(candidates_, picking{question.repeatable}, random_);
    return at ? eligible_[*at] : nullptr;
}

traffic_target* dispatcher::choose(
    service_state& service, placement_question const& question, time_point now)
{
    if (auto* const it = choose_suspect(service, question, now))
        return it;
    if (auto* const it = choose_untried(service, question, now))
        return it;
    if (auto* const it = choose_for_floor(service, question, now))
        return it;
    if (auto* const it =
            choose_up_to(target_state::suspect, service, question, now))
        return it;
    return service.floor_reached
        ? choose_up_to(target_state::ejected, service, question, now)
        : nullptr;
}

placement dispatcher::place(traffic_target& target, service_state& service,
    placement_question const& question, time_point now)
{
    placement_reason const reason{target.health().state(), target.in_flight(),
        target.others(), service.targets.size(),
        target.record().data_centre == data_centre_};
    target.began(now);
    service.line.note_started(question.priority, now);
    return {target.record(), reason};
}

duration dispatcher::expected_wait(service_state const& service,
    service_id const& name, std::size_t ahead, time_point now) const
{
    double slots = 0;
    for (auto const* it : service.targets)
        if (it->open() && it->health().state() != target_state::ejected)
            slots += static_cast<double>(it->record().slots);
    auto const typical = typical_latency(name);
    auto const latency = typical > duration::zero() ? typical : assumed_latency;
    // This thread gets at least what it got lately, or its part of all.
    auto const entries =
        static_cast<double>(std::max<std::size_t>(near_entries_, 1));
    auto const even = slots / to_seconds(latency) / entries / 2;
    auto const starts = std::max(service.ends.per_second(now), even);
    if (starts <= 0)
        return longest_retry_after;
    return from_seconds(static_cast<double>(ahead + 1) / starts);
}

std::variant<placement_decision, ticket> dispatcher::submit(
    placement_question question, decision_callback later, time_point now)
{
    auto& service = state_of(question.service);
    service.line.note_asked(question.priority, now);
    if (!has_any(service, question))
        return placement_decision(placement_denial{
            placement_refusal::no_target, no_target_retry_after});
    auto const ahead = service.line.ahead_of(question.priority);
    if (ahead == 0)
        if (auto* const it = choose(service, question, now))
            return placement_decision(place(*it, service, question, now));
    auto const wait = expected_wait(service, question.service, ahead, now);
    if (now + wait > question.start_by)
        return placement_decision(
            placement_denial{placement_refusal::overloaded,
                std::clamp(wait, shortest_retry_after, longest_retry_after)});
    auto const id = ++last_ticket_;
    service.line.add({id, question.priority, now, question.start_by});
    questions_.emplace(
        id, waiting_question{std::move(question), std::move(later)});
    return id;
}

void dispatcher::withdraw(ticket id)
{
    auto const it = questions_.find(id);
    if (it == questions_.end())
        return;
    state_of(it->second.question.service).line.remove(id);
    questions_.erase(it);
}

void dispatcher::refuse_late(service_state& service, time_point now)
{
    for (auto const& it : service.line.take_late(now)) {
        auto waiting = questions_.extract(it.id);
        waiting.mapped().later(placement_denial{
            placement_refusal::overloaded, shortest_retry_after});
    }
}

void dispatcher::pump(service_id const& name, time_point now)
{
    auto& service = state_of(name);
    if (service.line.empty())
        return;
    refuse_late(service, now);
    for (auto const& it : service.line.ordered(now)) {
        auto const waiting = questions_.find(it.id);
        if (waiting == questions_.end())
            continue;
        auto* const target = choose(service, waiting->second.question, now);
        if (target == nullptr) {
            // Who has tried targets may find none where others do.
            if (waiting->second.question.tried.empty())
                return;
            continue;
        }
        auto decision = place(*target, service, waiting->second.question, now);
        service.line.remove(it.id);
        auto held = questions_.extract(waiting);
        held.mapped().later(std::move(decision));
    }
}

void dispatcher::note_end(service_id const& service, bool served)
{
    auto& unserved = state_of(service).unserved;
    unserved += ((served ? 0.0 : 1.0) - unserved) * unserved_weight;
}

void dispatcher::tick(time_point now)
{
    for (auto& [id, it] : targets_) {
        auto const before = it->health().state();
        it->health().tick(now);
        if (it->health().state() != before)
            check_floor(state_of(it->record().service));
    }
    std::vector<std::string> names;
    for (auto const& [name, it] : services_)
        if (!it.line.empty())
            names.push_back(name);
    for (auto const& it : names)
        pump(service_id(it), now);
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
