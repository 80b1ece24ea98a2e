#ifndef POMELOHINGE_SERVERS_DISPATCH_TARGET_OWNER_HPP
#define POMELOHINGE_SERVERS_DISPATCH_TARGET_OWNER_HPP

#include "core/invariant.hpp"
#include "servers/dispatch/target_dispatcher.hpp"
#include "servers/peers/messages.hpp"
#include "servers/requests/policy.hpp"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <functional>
#include <map>

namespace pomelohinge {

/// How one attempt at an upstream ended.
struct attempt_end
{
    attempt_result result = attempt_result::connect_failed;
    upstream_answer answer;
};

/// What the owner of targets needs of its surroundings.
template <class Environment>
concept TargetEnvironment = requires(Environment& environment,
    target_id const& target, target_object const& object,
    dispatch_order const& order, attempt_report const& report,
    std::uint64_t attempt)
{
    {
        environment.now()
        } -> std::same_as<time_point>;
    {
        environment.current_policy()
        } -> std::same_as<policy_pointer const&>;
    {
        environment.lease_end()
        } -> std::same_as<time_point>;
    {
        environment.send_upstream(
            object, order, std::function<void(attempt_end)>())
        } -> std::same_as<std::uint64_t>;
    environment.cancel_upstream(attempt);
    environment.report_attempt(target, report);
};

/// Runs requests at the targets that fall to one traffic thread of their
/// owner. How many each may run is decided on the control thread.
template <class Environment>
class target_owner
{
public:
    using end_callback = std::function<void(dispatch_answer)>;

    explicit target_owner(Environment& environment) : environment_(environment)
    {
        // The environment may hold this object and is complete only here.
        static_assert(TargetEnvironment<Environment>);
    }

    /// Takes a request; the callback is called once, perhaps at once.
    ticket submit(dispatch_order order, end_callback on_end)
    {
        auto const id = ++last_ticket_;
        auto const now = environment_.now();
        auto const* const object = find_target(order.target);
        if (object == nullptr || !may_act(order.target, *object, now)) {
            on_end(refused(dispatch_outcome::not_owner, nullptr));
            return id;
        }
        auto& dispatcher = dispatcher_of(order.target, *object);
        waiting_order entry{std::move(order), std::move(on_end), now, {}, {}};
        entry.deadline = now + entry.order.remaining;
        auto const target = entry.order.target;
        dispatch_step step;
        auto const verdict = dispatcher.submit(
            id, entry.order.organisation, entry.deadline, now, step);
        switch (verdict) {
        case dispatch_verdict::run:
        case dispatch_verdict::queued:
            orders_.emplace(id, std::move(entry));
            break;
        case dispatch_verdict::full:
        case dispatch_verdict::too_late:
        case dispatch_verdict::closed:
            entry.on_end(refused(dispatch_outcome::not_taken, &dispatcher));
            break;
        }
        carry_out(target, step);
        if (verdict == dispatch_verdict::run)
            start(id);
        return id;
    }

    /// The entry VM does not want the answer any more.
    void cancel(ticket id)
    {
        auto const it = orders_.find(id);
        if (it == orders_.end())
            return;
        auto& dispatcher = dispatchers_.at(it->second.order.target);
        if (!dispatcher.cancel(id))
            return environment_.cancel_upstream(it->second.attempt);
        finish_order(it, refused(dispatch_outcome::not_taken, &dispatcher));
    }

    /// Changes how many requests the target may run at a time.
    void set_limit(target_id const& target, std::size_t limit)
    {
        auto const* const object = find_target(target);
        if (object == nullptr)
            return;
        auto& dispatcher = dispatcher_of(target, *object);
        carry_out(target, dispatcher.set_limit(limit, environment_.now()));
    }

    /// Drops requests that waited too long, were overtaken by a change of
    /// configuration, or that this VM may run no more.
    void sweep()
    {
        for (auto& [target, dispatcher] : dispatchers_) {
            auto const* const object = find_target(target);
            bool const closed = object == nullptr ||
                !environment_.current_policy()->index->targets.is_usable(
                    target) ||
                !may_act(target, *object, environment_.now());
            auto step = closed ? dispatcher.set_limit(0, environment_.now())
                               : dispatcher.expire(environment_.now());
            carry_out(target, step);
        }
        drop_unused();
        tell_idle();
    }

    /// Calls `idle` once no request runs at a target that this VM does not
    /// own under the policy in force.
    void when_lost_are_idle(std::function<void()> idle)
    {
        await_idle_.push_back(std::move(idle));
        tell_idle();
    }

    /// Requests that run or wait.
    std::size_t orders() const { return orders_.size(); }

private:
    struct waiting_order
    {
        dispatch_order order;
        end_callback on_end;
        time_point arrived_at;
        time_point started_at;
        time_point deadline;
        std::uint64_t attempt = 0;
    };

    using order_map = absl::flat_hash_map<ticket, waiting_order>;

    target_object const* find_target(target_id const& target) const
    {
        auto const& policy = environment_.current_policy();
        if (policy == nullptr)
            return nullptr;
        return policy->index->source.template find<target_object>(
            target.text());
    }

    /// Ownership and lease, checked next to the act.
    bool may_act(target_id const& target, target_object const& object,
        time_point now) const
    {
        auto const& policy = environment_.current_policy();
        return now < environment_.lease_end() && !policy->leaving &&
            policy->owners.may_act(target_key(target, object), now);
    }

    target_dispatcher& dispatcher_of(
        target_id const& target, target_object const& object)
    {
        auto const slots = static_cast<std::size_t>(object.slots);
        auto& it = dispatchers_.try_emplace(target, slots).first->second;
        it.set_slots(slots);
        return it;
    }

    dispatch_answer refused(
        dispatch_outcome result, target_dispatcher const* dispatcher) const
    {
        dispatch_answer answer;
        answer.result = result;
        answer.load = dispatcher == nullptr ? 0 : dispatcher->load();
        return answer;
    }

    void finish_order(typename order_map::iterator it, dispatch_answer answer)
    {
        auto const on_end = std::move(it->second.on_end);
        orders_.erase(it);
        on_end(std::move(answer));
    }

    void carry_out(target_id const& target, dispatch_step const& step)
    {
        for (auto const id : step.dropped) {
            auto const it = orders_.find(id);
            if (it != orders_.end())
                finish_order(it,
                    refused(
                        dispatch_outcome::not_taken, &dispatchers_.at(target)));
        }
        for (auto const id : step.start)
            start(id);
    }

    /// Whether the order may still run, which may have changed while it
    /// waited.
    std::optional<dispatch_outcome> reason_against(
        dispatch_order const& order) const
    {
        auto const& policy = environment_.current_policy();
        auto const* const object = find_target(order.target);
        if (object == nullptr ||
            !may_act(order.target, *object, environment_.now()))
            return dispatch_outcome::not_owner;
        if (!policy->index->targets.is_usable(order.target))
            return dispatch_outcome::not_taken;
        if (order.key &&
            !policy->index->routes.key_in_force(*order.key, order.organisation))
            return dispatch_outcome::key_withdrawn;
        return std::nullopt;
    }

    void start(ticket id)
    {
        auto const it = orders_.find(id);
        if (it == orders_.end())
            return;
        auto& entry = it->second;
        auto const now = environment_.now();
        if (auto const reason = reason_against(entry.order)) {
            auto const target = entry.order.target;
            auto& dispatcher = dispatchers_.at(target);
            auto const step = dispatcher.finish(id, now);
            finish_order(it, refused(*reason, &dispatcher));
            return carry_out(target, step);
        }
        auto const& index = *environment_.current_policy()->index;
        assert_invariant(invariant::closed_target_gets_no_work,
            index.targets.is_usable(entry.order.target),
            entry.order.target.text());
        assert_invariant(invariant::withdrawn_key_stops,
            !entry.order.key ||
                index.routes.key_in_force(
                    *entry.order.key, entry.order.organisation),
            entry.order.organisation.text());
        entry.started_at = now;
        entry.order.remaining = entry.deadline - now;
        auto const& object = *find_target(entry.order.target);
        entry.attempt = environment_.send_upstream(object, entry.order,
            [this, id](attempt_end end) { attempt_ended(id, std::move(end)); });
    }

    void attempt_ended(ticket id, attempt_end end)
    {
        auto const it = orders_.find(id);
        if (it == orders_.end())
            return;
        auto const now = environment_.now();
        auto const& entry = it->second;
        auto const target = entry.order.target;
        auto& dispatcher = dispatchers_.at(target);

        attempt_report report;
        report.result = end.result;
        report.latency = now - entry.started_at;
        report.service_median = entry.order.baseline.median;
        report.service_failures = entry.order.baseline.failures;
        environment_.report_attempt(target, report);

        dispatch_answer answer;
        bool const whole = end.result == attempt_result::answered ||
            end.result == attempt_result::server_error;
        answer.result = whole ? dispatch_outcome::answered
                              : dispatch_outcome::attempt_failed;
        answer.attempt = end.result;
        answer.answer = std::move(end.answer);
        answer.service_time = report.latency;
        answer.queue_time = entry.started_at - entry.arrived_at;
        auto const step = dispatcher.finish(id, now);
        answer.load = dispatcher.load();
        finish_order(it, std::move(answer));
        carry_out(target, step);
    }

    bool lost_are_idle() const
    {
        auto const& owners = environment_.current_policy()->owners;
        return std::all_of(
            dispatchers_.begin(), dispatchers_.end(), [&](auto const& it) {
                auto const* const object = find_target(it.first);
                bool const owned = object != nullptr &&
                    !environment_.current_policy()->leaving &&
                    owners.is_owner(target_key(it.first, *object));
                return owned || it.second.running() == 0;
            });
    }

    void tell_idle()
    {
        if (await_idle_.empty() || !lost_are_idle())
            return;
        for (auto const& it : std::exchange(await_idle_, {}))
            it();
    }

    /// Forgets dispatchers of targets that are gone and idle.
    void drop_unused()
    {
        std::erase_if(dispatchers_, [&](auto const& it) {
            return it.second.running() == 0 && it.second.waiting() == 0 &&
                it.second.limit() == 0;
        });
    }

    Environment& environment_;
    ticket last_ticket_ = 0;
    /// Node based, since callbacks may add targets while one is in use.
    std::map<target_id, target_dispatcher> dispatchers_;
    order_map orders_;
    std::vector<std::function<void()>> await_idle_;
};

} // namespace pomelohinge

#endif
