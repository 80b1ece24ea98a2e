#include "servers/dispatch/dispatcher.hpp"

#include "servers/selection/placement_limits.hpp"

#include <absl/cleanup/cleanup.h>
#include <algorithm>

/// The queueing and the rejection of requests that find no target at once.
namespace pomelohinge {
namespace {

/// Assumed latency of a service until its median latency is known.
constexpr duration assumed_latency = std::chrono::milliseconds(250);

/// Retry delay for a service without any eligible target.
constexpr duration no_target_retry_after = std::chrono::seconds(1);

/// Requests for targets on trial that have found no free slot there are made up
/// for later, up to this number, so that they do not come in bursts.
constexpr double max_canaries_due = 2;

} // namespace

duration dispatcher::expected_wait(service_state const& service,
    service_id const& name, std::size_t ahead, time_point now) const
{
    double slots = 0;
    bool const only_here = has_transfer() && has_targets_here(service);
    std::optional<duration> pause_left;
    for (auto const* it : service.targets) {
        if (!it->accepts_requests() ||
            it->health().state() == target_state::ejected ||
            (only_here && it->record().data_centre != data_centre_))
            continue;
        slots += static_cast<double>(it->record().slots);
        bool const is_paused = it->pause().state() == pause_state::paused;
        auto const left =
            is_paused ? it->pause().ends_at() - now : duration::zero();
        pause_left = std::min(pause_left.value_or(left), left);
    }
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
    return pause_left.value_or(duration::zero()) +
        from_seconds(static_cast<double>(ahead + 1) / starts);
}

std::variant<placement_decision, ticket> dispatcher::submit(
    placement_request request, decision_callback on_decision, time_point now)
{
    auto& service = state_of(request.service);
    service.queue.add_arrival(request.priority, now);
    if (request.tried.empty())
        share_.add_arrival(now);
    if (request.retryable)
        service.last_retryable_at = now;
    if (request.tried.empty())
        service.canaries_due = std::min(
            service.canaries_due + service.canary_share, max_canaries_due);
    if (!has_eligible_target(service, request))
        return placement_decision(reject_without_target(service, request, now));
    return std::visit(
        [&](auto& rules) {
            return submit_by(rules, service, std::move(request),
                std::move(on_decision), now);
        },
        rules_);
}

template <class Rules>
std::variant<placement_decision, ticket> dispatcher::submit_by(Rules& rules,
    service_state& service, placement_request request,
    decision_callback on_decision, time_point now)
{
    static_assert(PlacementRules<Rules, dispatcher, service_state,
        placement_request, traffic_target, choice, admission>);
    rules.arrived(service, request, now);
    if (rules.is_first(service, request, now))
        if (auto const it = rules.choose(*this, service, request, now);
            it.target != nullptr)
            return placement_decision(place(it, service, request, now));
    auto admitted = rules.admit(*this, service, request, now);
    if (auto const* const it = std::get_if<placement_rejection>(&admitted))
        return placement_decision(*it);
    auto entry = std::get<wait_queue::entry>(admitted);
    entry.id = ++last_ticket_;
    service.queue.add(entry);
    queued_requests_.emplace(
        entry.id, queued_request{std::move(request), std::move(on_decision)});
    return entry.id;
}

bool dispatcher::earliest_rules::is_first(service_state const& service,
    placement_request const& request, time_point) const
{
    return service.queue.count_ahead_of(request.priority) == 0;
}

dispatcher::choice dispatcher::earliest_rules::choose(dispatcher& owner,
    service_state& service, placement_request const& request, time_point now)
{
    return owner.choose(service, request, now);
}

dispatcher::admission dispatcher::earliest_rules::admit(dispatcher& owner,
    service_state& service, placement_request const& request, time_point now)
{
    auto const wait = owner.expected_wait(service, request.service,
        service.queue.count_ahead_of(request.priority), now);
    if (now + wait > request.start_deadline)
        return placement_rejection{rejection_reason::overloaded,
            std::clamp(wait, min_retry_after, max_retry_after)};
    wait_queue::entry entry;
    entry.priority = request.priority;
    entry.queued_at = now;
    entry.start_deadline = request.start_deadline;
    return entry;
}

/// The time until a retry is that until the first pause ends, if pauses are the
/// reason.
placement_rejection dispatcher::reject_without_target(
    service_state const& service, placement_request const& request,
    time_point now) const
{
    std::optional<time_point> first_end;
    for (auto const* it : service.targets)
        if (it->accepts_requests() &&
            it->pause().state() == pause_state::paused &&
            !was_tried(request, it->record().id))
            first_end = std::min(
                first_end.value_or(time_point::max()), it->pause().ends_at());
    if (!first_end)
        return {rejection_reason::no_target, no_target_retry_after};
    return {rejection_reason::overloaded,
        std::max<duration>(*first_end - now, min_retry_after)};
}

std::optional<placement> dispatcher::reserve(
    placement_request const& request, time_point now)
{
    auto& service = state_of(request.service);
    if (service.queue.count_ahead_of(request.priority) > 0)
        return std::nullopt;
    auto const chosen = std::visit(
        [&](auto& rules) { return rules.choose(*this, service, request, now); },
        rules_);
    if (chosen.target == nullptr)
        return std::nullopt;
    service.queue.add_arrival(request.priority, now);
    return place(chosen, service, request, now);
}

void dispatcher::withdraw(ticket id, time_point now)
{
    if (auto const queued = queued_requests_.find(id);
        queued != queued_requests_.end()) {
        state_of(queued->second.request.service).queue.remove(id);
        queued_requests_.erase(queued);
        return;
    }
    auto const it = std::find_if(decisions_.begin(), decisions_.end(),
        [&](auto const& pending) { return pending.id == id; });
    if (it == decisions_.end())
        return;
    auto const decision = std::move(it->decision);
    decisions_.erase(it);
    if (auto const* const placed = std::get_if<placement>(&decision))
        attempt_ended(
            placed->target, attempt_result::cancelled, duration::zero(), now);
}

void dispatcher::add_decision(ticket id, placement_decision decision)
{
    auto const queued = queued_requests_.extract(id);
    decisions_.push_back(
        {id, std::move(decision), std::move(queued.mapped().on_decision)});
}

/// Calls the callbacks of the decided requests. They may call this class again,
/// so each public function calls this last. Decisions that a callback causes
/// are delivered by the outermost call.
void dispatcher::deliver_decisions()
{
    if (is_delivering_)
        return;
    is_delivering_ = true;
    absl::Cleanup const stop = [this] {
        is_delivering_ = false;
    };
    while (!decisions_.empty()) {
        auto next = std::move(decisions_.front());
        decisions_.pop_front();
        next.on_decision(std::move(next.decision));
    }
}

void dispatcher::reject_expired(service_state& service, time_point now)
{
    for (auto const& it : service.queue.take_expired(now))
        add_decision(it.id,
            placement_rejection{rejection_reason::overloaded, min_retry_after});
}

void dispatcher::serve_queue(service_state& service, time_point now)
{
    if (service.queue.empty())
        return;
    reject_expired(service, now);
    std::visit([&](auto& rules) { rules.serve(*this, service, now); }, rules_);
}

void dispatcher::place_queued(
    ticket id, choice const& chosen, service_state& service, time_point now)
{
    auto decision =
        place(chosen, service, queued_requests_.at(id).request, now);
    service.queue.remove(id);
    add_decision(id, std::move(decision));
}

void dispatcher::earliest_rules::serve(
    dispatcher& owner, service_state& service, time_point now)
{
    for (auto const& it : service.queue.ordered(now)) {
        auto const& request = owner.queued_requests_.at(it.id).request;
        auto const chosen = owner.choose(service, request, now);
        if (chosen.target == nullptr) {
            // A request that excludes the targets it was already sent to may
            // find none, while a request behind it finds one.
            if (request.tried.empty())
                return;
            continue;
        }
        owner.place_queued(it.id, chosen, service, now);
    }
}

void dispatcher::serve_queues(time_point now)
{
    for (auto& [name, it] : services_)
        serve_queue(it, now);
}

} // namespace pomelohinge
