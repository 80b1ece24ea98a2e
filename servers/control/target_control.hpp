#ifndef POMELOHINGE_SERVERS_CONTROL_TARGET_CONTROL_HPP
#define POMELOHINGE_SERVERS_CONTROL_TARGET_CONTROL_HPP

#include "charts/chart_list.hpp"
#include "core/log.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/floors/floor_keeper.hpp"
#include "servers/health/target_keeper.hpp"

#include <map>
#include <set>

namespace pomelohinge {

/// One target as `status` shows it.
struct target_status
{
    target_id target;
    target_state state = target_state::cold;
    std::size_t limit = 0;
    double score = 0;
};

/// Keeps the targets and the floors that this VM owns. Part of the control
/// thread.
template <class Environment>
class target_control
{
public:
    target_control(chart_list const& rules, Environment& environment)
        : rules_(rules), environment_(environment)
    {
        // The environment may hold this object and is complete only here.
        static_assert(ControlEnvironment<Environment>);
    }

    /// Follows ownership and configuration.
    void follow(policy const& now_in_force, bool lease_holds)
    {
        find_owned(now_in_force);
        follow_targets(now_in_force, lease_holds);
        follow_floors(now_in_force, lease_holds);
    }

    /// Takes the report of one attempt.
    void attempted(target_id const& target, attempt_report const& report)
    {
        auto const it = keepers_.find(target);
        if (it == keepers_.end())
            return;
        it->second.attempted(report, environment_.now());
        settle(target, it->second);
    }

    /// Runs timeouts and carries out what keepers want.
    void tick(policy const& now_in_force)
    {
        for (auto& [target, keeper] : keepers_) {
            keeper.tick(environment_.now());
            settle(target, keeper);
        }
        tell_services(now_in_force);
    }

    /// Reports all capacities to the owners of services; call it every
    /// `floor_report_period`.
    void report()
    {
        send_limits();
        for (auto const& [target, keeper] : keepers_)
            to_report_.insert(target);
    }

    /// Answers as the owner of a service.
    floor_reply answer(floor_question const& question)
    {
        floor_reply reply{true, {}};
        auto const it = floors_.find(question.service);
        auto const now = environment_.now();
        if (it != floors_.end()) {
            for (auto const& report : question.reports)
                it->second.report(report, now);
            for (auto const& target : question.returned)
                it->second.give_back(target);
        }
        for (auto const& target : question.eject)
            reply.answers.push_back({target,
                it == floors_.end() ? floor_verdict::not_known
                                    : it->second.ask(target, now)});
        return reply;
    }

    std::vector<target_status> status() const
    {
        std::vector<target_status> rows;
        for (auto const& [target, keeper] : keepers_)
            rows.push_back(
                {target, keeper.state(), keeper.limit(), keeper.score()});
        return rows;
    }

private:
    static target_object const* find(
        policy const& in_force, target_id const& target)
    {
        return in_force.index->source.template find<target_object>(
            target.text());
    }

    /// Finds what this VM owns, once for each view and configuration.
    void find_owned(policy const& in_force)
    {
        bool const known = owned_index_ == in_force.index &&
            owned_ranks_ == in_force.owners.current();
        if (known)
            return;
        owned_index_ = in_force.index;
        owned_ranks_ = in_force.owners.current();
        owned_targets_.clear();
        owned_services_.clear();
        if (owned_ranks_ == nullptr)
            return;
        // Only few data centres rank this VM, most often its own alone.
        std::map<data_centre_id, bool> ranked_in;
        for (auto const& [name, object] :
            in_force.index->source.template table<target_object>()) {
            auto const [it, fresh] =
                ranked_in.emplace(object.data_centre, false);
            if (fresh)
                it->second = owned_ranks_->is_ranked(
                    in_force.owners.self(), object.data_centre);
            if (it->second &&
                in_force.owners.is_owner(target_key(target_id(name), object)))
                owned_targets_.push_back(name);
        }
        for (auto const& [name, object] :
            in_force.index->source.template table<service_object>())
            if (in_force.owners.is_owner(service_key(name)))
                owned_services_.push_back(name);
    }

    static owned_key service_key(std::string const& service)
    {
        return {owned_kind::service, service, nullptr, 1};
    }

    void follow_targets(policy const& in_force, bool lease_holds)
    {
        auto const now = environment_.now();
        std::map<target_id, target_keeper> next;
        for (auto const& name : owned_targets_) {
            target_id const id(name);
            auto const& object = *find(in_force, id);
            bool const mine = lease_holds && !in_force.leaving &&
                in_force.owners.may_act(target_key(id, object), now);
            if (!mine)
                continue;
            auto const slots = static_cast<std::size_t>(object.slots);
            auto const known = keepers_.find(id);
            auto [it, fresh] = next.emplace(id,
                known != keepers_.end()
                    ? known->second
                    : target_keeper(rules_.target, slots, now));
            auto& keeper = it->second;
            keeper.set_slots(slots);
            if (known == keepers_.end())
                keeper.begin(now);
            keeper.set_drained(!in_force.index->targets.is_usable(id), now);
        }
        keepers_ = std::move(next);
        std::erase_if(sent_limits_,
            [&](auto const& it) { return !keepers_.contains(it.first); });
    }

    void follow_floors(policy const& in_force, bool lease_holds)
    {
        auto const now = environment_.now();
        std::map<service_id, floor_keeper> next;
        for (auto const& name : owned_services_) {
            service_id const id(name);
            if (!lease_holds ||
                !in_force.owners.may_act(service_key(name), now))
                continue;
            auto const* const configured =
                in_force.index->source.template find<floor_object>(name);
            auto const floor = configured ? *configured : floor_object{};
            auto const known = floors_.find(id);
            auto [it, fresh] = next.emplace(id,
                known != floors_.end() ? std::move(known->second)
                                       : floor_keeper(floor));
            std::vector<std::pair<target_id, std::int64_t>> targets;
            for (auto const& target : in_force.index->targets.of(id))
                targets.emplace_back(target.id, target.object.slots);
            it->second.configure(floor, targets);
        }
        floors_ = std::move(next);
    }

    static capacity_report report_of(target_id const& target,
        target_object const& object, target_keeper const& keeper)
    {
        return {target, object.slots, static_cast<std::int64_t>(keeper.limit()),
            keeper.state() == target_state::ejected ||
                keeper.state() == target_state::probing};
    }

    /// Carries out what one keeper wants.
    void settle(target_id const& target, target_keeper& keeper)
    {
        auto const wants = keeper.take_wants();
        if (wants.ejection)
            to_eject_.insert(target);
        if (wants.return_capacity)
            to_return_.insert(target);
        if (wants.probe)
            probes_.insert(target);
        send_limit(target, keeper);
    }

    void send_limit(target_id const& target, target_keeper const& keeper)
    {
        auto const limit = keeper.limit();
        auto const [it, fresh] = sent_limits_.emplace(target, limit);
        if (!fresh && it->second == limit)
            return;
        it->second = limit;
        to_report_.insert(target);
        environment_.set_limit(target, limit);
        auto const [state, first] =
            logged_states_.emplace(target, keeper.state());
        if (!first && state->second == keeper.state())
            return;
        state->second = keeper.state();
        log(log_event::target_state_changed,
            {{"target", target.text()}, {"state", to_name(keeper.state())},
                {"limit", limit}, {"score", keeper.score()}});
    }

    /// Sends all limits again, in case a traffic thread dropped one.
    void send_limits()
    {
        for (auto const& [target, limit] : sent_limits_)
            environment_.set_limit(target, limit);
    }

    void tell_services(policy const& in_force)
    {
        std::map<service_id, floor_question> questions;
        for (auto const& target : to_eject_)
            if (auto const* const object = find(in_force, target))
                questions[object->service].eject.push_back(target);
        for (auto const& target : to_return_)
            if (auto const* const object = find(in_force, target))
                questions[object->service].returned.push_back(target);
        for (auto const& target : to_report_) {
            auto const* const object = find(in_force, target);
            auto const keeper = keepers_.find(target);
            if (object != nullptr && keeper != keepers_.end())
                questions[object->service].reports.push_back(
                    report_of(target, *object, keeper->second));
        }
        to_eject_.clear();
        to_return_.clear();
        to_report_.clear();
        for (auto& [service, question] : questions) {
            question.service = service;
            send(in_force, std::move(question));
        }
        probe_targets(in_force);
    }

    void probe_targets(policy const& in_force)
    {
        for (auto const& target : std::exchange(probes_, {}))
            if (auto const* const object = find(in_force, target))
                environment_.probe_upstream(
                    object->address, [this, target](bool passed) {
                        auto const it = keepers_.find(target);
                        if (it == keepers_.end())
                            return;
                        it->second.probed(passed, environment_.now());
                        settle(target, it->second);
                    });
    }

    void send(policy const& in_force, floor_question question)
    {
        auto const owners =
            in_force.owners.owners(service_key(question.service.text()));
        if (owners.empty())
            return;
        if (owners.front()->vm == in_force.owners.self())
            return answered(answer(question));
        environment_.send_floor(*owners.front(), question,
            [this](floor_reply reply) { answered(reply); });
    }

    void answered(floor_reply const& reply)
    {
        for (auto const& it : reply.answers) {
            auto const keeper = keepers_.find(it.target);
            if (keeper == keepers_.end())
                continue;
            bool const granted = it.verdict == floor_verdict::granted;
            if (!granted)
                log(log_event::ejection_refused,
                    {{"target", it.target.text()},
                        {"verdict", to_name(it.verdict)}});
            keeper->second.floor_answered(granted, environment_.now());
            settle(it.target, keeper->second);
        }
    }

    chart_list const& rules_;
    Environment& environment_;
    std::shared_ptr<configuration_index const> owned_index_;
    rendezvous const* owned_ranks_ = nullptr;
    std::vector<std::string> owned_targets_;
    std::vector<std::string> owned_services_;
    std::map<target_id, target_keeper> keepers_;
    std::map<service_id, floor_keeper> floors_;
    std::map<target_id, std::size_t> sent_limits_;
    std::map<target_id, target_state> logged_states_;
    std::set<target_id> to_eject_;
    std::set<target_id> to_return_;
    std::set<target_id> to_report_;
    std::set<target_id> probes_;
};

} // namespace pomelohinge

#endif
