#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_PLANE_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_PLANE_HPP

#include "core/log.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/control_periods.hpp"
#include "servers/control/control_status.hpp"
#include "servers/control/hub_exchange.hpp"
#include "servers/control/hub_probes.hpp"
#include "servers/control/registration.hpp"
#include "servers/control/rollout_control.hpp"
#include "servers/control/store_access.hpp"
#include "servers/control/sync_server.hpp"

#include <algorithm>

namespace pomelohinge {

/// The control plane of one VM, run by its control thread. It selects a hub,
/// exchanges reports and updates with it, or acts as the hub itself, and
/// publishes policies to the traffic threads. It only decides; messages and the
/// store are accessed through `Environment`.
template <class Environment>
class control_plane : private control_periods
{
public:
    control_plane(vm_record self, std::vector<std::string> seeds,
        Environment& environment, timer_service& timers,
        chart<hub_candidate_chart> const& hub_candidates,
        std::optional<rollout_setup> rollouts = {})
        : environment_(environment), timers_(timers), self_(std::move(self)),
          members_(self_), sync_server_(self_, fleet_state_, members_),
          store_access_(environment, timers, fleet_state_, members_,
              {[this] { state_changed(); },
                  [this](sync_relation it) { return make_question(it); },
                  [this](sync_reply it, time_point requested_at) {
                      apply_reply(std::move(it), requested_at);
                      answer_long_polls();
                  }}),
          registration_(environment, timers, self_, members_, std::move(seeds)),
          hub_selector_(hub_candidates),
          hub_probes_(environment, hub_selector_,
              [this](vm_id const& vm, sync_reply const& it) {
                  handle_probe_reply(vm, it);
              }),
          hub_exchange_(environment, self_, members_, hub_selector_,
              sync_server_,
              {[this] { return make_question(sync_relation::hub); },
                  [this](sync_reply it, time_point requested_at) {
                      store_access_.note_reply(it, requested_at);
                      apply_reply(std::move(it), requested_at);
                      answer_long_polls();
                  }}),
          rollouts_(
              environment, fleet_state_, self_, std::move(rollouts),
              [this] { state_changed(); },
              [this] { store_access_.list_rollouts(); })
    {
        store_access_.follow_rollouts(rollouts_.order_handler());
        // The environment may hold this object and is complete only here.
        static_assert(ControlEnvironment<Environment>);
    }

    /// Sets the budget for reports to other data centres, in bytes per second;
    /// 0 for none.
    void set_remote_budget(double bytes_per_second)
    {
        sync_server_.set_remote_budget(bytes_per_second);
    }

    void start()
    {
        auto const now = environment_.now();
        started_at_ = now;
        store_access_.start(now);
        log(log_event::control_started,
            {{"vm", self_.vm.text()},
                {"data_centre", self_.data_centre.text()}});
        registration_.start([this] { update_hub(); });
        tick_timer_ = timers_.every(now, tick_period, [this] { tick(); });
        entries_timer_ =
            timers_.every(now, entries_period, [this] { choose_entries(); });
        publish();
    }

    /// Starts a planned shutdown and announces it at once: callers and hubs
    /// stop using this VM.
    void leave()
    {
        self_.standing = vm_standing::leaving;
        members_.set_self(self_, load_);
        members_changed();
        sync_now();
    }

    /// Reports a newly failing target to the other VMs at once, without waiting
    /// for the next sync. Does nothing if less than `urgent_report_period` has
    /// passed since the last urgent report; the next sync reports the target.
    void report_failures()
    {
        auto const now = environment_.now();
        if (!hub_chosen_ || now < next_urgent_report_)
            return;
        next_urgent_report_ = now + urgent_report_period;
        environment_.collect_report([this](traffic_report report) {
            if (is_hub())
                return exchange_report(report);
            auto const* const hub = members_.find(hub_);
            if (hub == nullptr)
                return;
            auto question = make_question(sync_relation::member);
            hub_members_.write_to(question);
            question.liveness_timeout = busy_liveness_timeout;
            question.report = std::move(report);
            environment_.send_sync(hub->record.peers_address, question,
                [this, requested_at = environment_.now()](sync_reply reply) {
                    if (!reply.reached)
                        return;
                    environment_.distribute_report(reply.others);
                    reply.members.reset();
                    apply_reply(std::move(reply), requested_at);
                });
        });
    }

    /// Answers a sync question of another VM, at once or as a long poll.
    void answer_sync(
        sync_question question, std::function<void(sync_reply)> reply)
    {
        auto const now = environment_.now();
        if (question.relation == sync_relation::probe)
            return answer_probe(question, reply);
        if (question.relation == sync_relation::read_notice)
            return store_access_.answer_notice(std::move(question), reply);
        if (question.relation == sync_relation::read_request)
            return reply(sync_server_.make_store_reply(question, now));
        auto const sequence = members_.sequence();
        note_question(question);
        sync_server_.answer(std::move(question), now, std::move(reply));
        if (members_.sequence() != sequence)
            members_changed();
        update_hub();
    }

    vm_standing standing() const { return self_.standing; }

    control_status status() const
    {
        control_status it;
        it.standing = self_.standing;
        it.configuration_version = fleet_state_.document().version;
        it.targets_revision = fleet_state_.targets().revision();
        it.targets = fleet_state_.targets().size();
        it.read_age = fleet_state_.read_age(environment_.now());
        it.hub = hub_.text();
        it.reads_store = store_access_.active();
        it.members = members_.members();
        it.rollouts = fleet_state_.rollouts().items;
        return it;
    }

private:
    bool is_hub() const
    {
        return hub_.empty() && registration_.members_known();
    }

    bool is_busy() const
    {
        auto const* const own = members_.find(self_.vm);
        return load_ > min_busy_load || (own != nullptr && own->entry);
    }

    // Selection of the hub and of the VMs that read the store.

    /// Selects the hub, starts or stops reading the store, and starts syncs
    /// that are due.
    void update_hub()
    {
        if (!registration_.members_known())
            return;
        auto const now = environment_.now();
        auto const& members = members_.members();
        auto const chosen = hub_selector_.choose(members, self_);
        auto const hub = chosen ? chosen->vm : vm_id();
        if (hub != hub_ || !hub_chosen_) {
            log(log_event::hub_chosen,
                {{"hub", chosen ? hub.text() : self_.vm.text()}});
            hub_ = hub;
            hub_chosen_ = true;
            // The lists that earlier hubs have sent do not describe the table
            // any more.
            hub_members_ = {};
            hub_exchange_.forget_lists();
            if (is_hub())
                set_vms_before_gone(members, now);
        }
        auto const conditions = find_reading_conditions(now);
        rollouts_.set_deciding(conditions.reads_for_fleet);
        store_access_.update(self_, conditions);
        sync_server_.set_store_reached(
            !store_access_.active() || store_access_.reached());
        if (!sync_in_flight_ && !sync_scheduled_)
            sync_now();
        if (is_hub())
            hub_exchange_.update();
    }

    // Probes of VMs that may be a hub.

    void send_probes()
    {
        if (!registration_.members_known())
            return;
        sync_question probe;
        probe.from = self_;
        probe.relation = sync_relation::probe;
        probe.read_age = duration::zero();
        probe.report.load = load_;
        hub_probes_.update(members_.members(), is_hub(), std::move(probe));
    }

    void handle_probe_reply(vm_id const& vm, sync_reply const& reply)
    {
        if (reply.reached)
            store_access_.note_contact(environment_.now());
        if (reply.members)
            members_.update_from_hub(*reply.members, environment_.now());
        else if (is_hub() && hub_selector_.is_unreachable(vm))
            members_.set_unreachable(vm, environment_.now());
        members_changed();
        update_hub();
        send_probes();
    }

    void answer_probe(sync_question const& probe,
        std::function<void(sync_reply)> const& reply)
    {
        auto const now = environment_.now();
        note_question(probe);
        auto const sequence = members_.sequence();
        members_.update_from_vm(
            probe.from, probe.report.load, probe.liveness_timeout, now);
        reply(sync_server_.make_probe_reply());
        if (members_.sequence() != sequence)
            members_changed();
        update_hub();
    }

    void note_question(sync_question const& question)
    {
        auto const now = environment_.now();
        store_access_.note_contact(now);
        hub_selector_.note_question(
            question.from.vm, question.relation == sync_relation::hub, now);
    }

    /// VMs that did not answer this one are gone for those that follow it.
    void set_vms_before_gone(fleet_members const& members, time_point now)
    {
        for (auto const* it : hub_order(members, self_.data_centre)) {
            if (it->record.vm == self_.vm)
                break;
            if (hub_selector_.is_unreachable(it->record.vm))
                members_.set_unreachable(it->record.vm, now);
        }
    }

    reading_conditions find_reading_conditions(time_point now) const
    {
        reading_conditions it;
        // A VM that reaches no other one is its own hub as well, but has no
        // members.
        auto const& members = members_.members();
        it.is_hub = is_hub() &&
            (is_likely_hub(members, self_.data_centre, self_.vm) ||
                sync_server_.was_asked_within(max_question_age, now));
        it.reads_for_fleet =
            it.is_hub && is_first_data_centre(members, self_.data_centre);
        it.serves_members =
            it.is_hub || sync_server_.was_asked_within(max_question_age, now);
        return it;
    }

    // Sync with the hub.

    void schedule_sync(duration delay)
    {
        sync_scheduled_ = true;
        sync_timer_ = timers_.once(environment_.now(), delay, [this] {
            sync_scheduled_ = false;
            sync_now();
        });
    }

    void sync_now()
    {
        if (sync_in_flight_)
            return;
        sync_in_flight_ = true;
        environment_.collect_report([this](traffic_report report) {
            set_load(report.load);
            if (is_hub() || !registration_.members_known()) {
                sync_in_flight_ = false;
                exchange_report(report);
                return schedule_sync(busy_period);
            }
            sync_with_hub(std::move(report));
        });
    }

    void set_load(double load)
    {
        load_ = load;
        members_.set_self(self_, load);
    }

    void exchange_report(traffic_report const& report)
    {
        auto const others =
            sync_server_.exchange_own_report(report, environment_.now());
        rollouts_.add_reports(report, others);
        environment_.distribute_report(others);
    }

    sync_question make_question(sync_relation relation)
    {
        sync_question question;
        question.from = self_;
        question.relation = relation;
        question.configuration_version = fleet_state_.document().version;
        question.targets = fleet_state_.targets().position();
        question.closures = {
            fleet_state_.closures().revision, {}, fleet_state_.closures().era};
        question.read_age = fleet_state_.read_age(environment_.now());
        question.rollouts = fleet_state_.rollouts().position;
        return question;
    }

    void sync_with_hub(traffic_report report)
    {
        auto const* const hub = members_.find(hub_);
        if (hub == nullptr) {
            sync_in_flight_ = false;
            return schedule_sync(sync_retry_delay);
        }
        auto question = make_question(sync_relation::member);
        hub_members_.write_to(question);
        bool const uses_long_poll = fleet_state_.ready() && !is_busy() &&
            self_.standing == vm_standing::serving;
        // A hub that may be unreachable has to answer at once, since this VM
        // gets no updates until it gives up.
        if (!fleet_state_.ready() || !hub_selector_.is_reached(hub_))
            question.long_poll_timeout = duration::zero();
        else
            question.long_poll_timeout =
                uses_long_poll ? idle_long_poll_timeout : busy_period;
        question.liveness_timeout =
            is_busy() ? busy_liveness_timeout : idle_liveness_timeout;
        question.is_idle = !is_busy();
        question.report = std::move(report);
        environment_.send_sync(hub->record.peers_address, question,
            [this, asked_hub = hub->record, requested_at = environment_.now(),
                timeout = question.long_poll_timeout](sync_reply reply) {
                auto const now = environment_.now();
                store_access_.note_reply(
                    reply, std::min(requested_at + timeout + tick_period, now));
                if (!reply.reached &&
                    was_paused_meanwhile(timeout, requested_at, now)) {
                    sync_in_flight_ = false;
                    return schedule_sync(duration::zero());
                }
                handle_hub_reply(asked_hub, std::move(reply), requested_at);
            });
    }

    void handle_hub_reply(
        vm_record const& asked_hub, sync_reply reply, time_point requested_at)
    {
        sync_in_flight_ = false;
        auto const now = environment_.now();
        if (!reply.reached) {
            hub_selector_.note_hub_failure(members_.members(), asked_hub, now);
            schedule_sync(sync_retry_delay);
            update_hub();
            return send_probes();
        }
        store_access_.note_hub_contact(now);
        hub_selector_.note_answer(asked_hub.vm, now);
        if (reply.members)
            hub_members_.advance(reply);
        else if (hub_members_.is_confirmed_by(reply))
            members_.confirm_listed(std::nullopt, now);
        environment_.distribute_report(reply.others);
        // The reply gives the age of the hub's data as of the answer.
        // `requested_at` is earlier than that by the duration of the long poll,
        // so the age is overestimated, never underestimated.
        apply_reply(std::move(reply), requested_at);
        schedule_sync(fleet_state_.ready() ? min_sync_delay : busy_period);
        update_hub();
    }

    void apply_reply(sync_reply reply, time_point requested_at)
    {
        bool any_changed = false;
        if (reply.members) {
            members_.update_from_hub(*reply.members, environment_.now());
            any_changed = true;
        }
        if (reply.configuration.text != nullptr &&
            fleet_state_.lacks_configuration(reply.configuration.version))
            any_changed |= apply_configuration(reply.configuration);
        if (reply.read_age != duration::max())
            fleet_state_.confirm(
                reply.configuration.version, requested_at - reply.read_age);
        if (reply.targets)
            any_changed |=
                fleet_state_.apply_targets(std::move(*reply.targets));
        if (reply.closures)
            any_changed |=
                fleet_state_.apply_closures(std::move(*reply.closures));
        if (reply.rollouts)
            any_changed |= rollouts_.apply(std::move(*reply.rollouts));
        if (any_changed)
            return state_changed();
        environment_.set_read_at(fleet_state_.read_at());
    }

    bool apply_configuration(configuration_document const& document)
    {
        findings found("peer");
        auto decoded = environment_.decode_configuration(*document.text, found);
        if (!decoded) {
            log(log_event::configuration_unreadable,
                {{"version", document.version}, {"findings", found.to_text()}});
            return false;
        }
        log(log_event::configuration_applied,
            {{"version", document.version}, {"source", "hub"}});
        fleet_state_.set_configuration(document, *decoded);
        return true;
    }

    // Handling of changes.

    /// Handles a change or a confirmation of the fleet state or the members.
    void state_changed()
    {
        if (self_.standing == vm_standing::starting && fleet_state_.ready()) {
            self_.standing = vm_standing::serving;
            members_.set_self(self_, load_);
            log(log_event::started,
                {{"vm", self_.vm.text()},
                    {"version", fleet_state_.document().version}});
            sync_now();
        }
        publish();
        answer_long_polls();
    }

    void members_changed()
    {
        publish();
        answer_long_polls();
    }

    /// Answers the long polls for which there are updates.
    void answer_long_polls()
    {
        sync_server_.answer_long_polls(environment_.now());
    }

    /// Publishes a policy to the traffic threads if it differs from the last
    /// one.
    void publish()
    {
        auto const sequence = members_.sequence();
        auto const rollouts = rollouts_.make_table();
        bool const same = policy_ != nullptr &&
            policy_->index == fleet_state_.index() &&
            policy_->targets == fleet_state_.catalogue() &&
            published_members_ == sequence &&
            published_closures_ == fleet_state_.closures().closed &&
            policy_->rollouts == rollouts &&
            policy_->leaving == (self_.standing == vm_standing::leaving);
        if (!same) {
            auto next = std::make_shared<policy>();
            next->index = fleet_state_.index();
            next->targets = fleet_state_.catalogue();
            next->members = std::make_shared<fleet_members>(members_.members());
            auto const& closed = fleet_state_.closures().closed;
            next->closed = {closed.begin(), closed.end()};
            next->rollouts = rollouts;
            next->ready = fleet_state_.ready();
            next->store = fleet_state_.era();
            next->leaving = self_.standing == vm_standing::leaving;
            next->sequence = policy_ == nullptr ? 1 : policy_->sequence + 1;
            policy_ = next;
            published_members_ = sequence;
            published_closures_ = closed;
            environment_.publish(policy_);
        }
        // Set after publishing, so that the time of a newer read never applies
        // to an older policy.
        environment_.set_read_at(fleet_state_.read_at());
    }

    void tick()
    {
        auto const now = environment_.now();
        auto const sequence = members_.sequence();
        // While this process was paused, it could not hear of the others.
        auto const pause = now - last_tick_at_ - tick_period;
        if (last_tick_at_ != time_point{} && pause > max_tick_delay)
            members_.postpone_expiry(pause);
        last_tick_at_ = now;
        members_.expire(now);
        sync_server_.expire(now);
        if (members_.sequence() != sequence)
            members_changed();
        if (sync_server_.next_due() <= now)
            answer_long_polls();
        update_hub();
        send_probes();
        rollouts_.tick();
    }

    void choose_entries()
    {
        auto const now = environment_.now();
        if (!is_hub() || now - started_at_ < entries_period)
            return;
        auto const sequence = members_.sequence();
        sync_server_.choose_entries(now);
        if (members_.sequence() != sequence)
            members_changed();
        remove_unreachable(now);
        registration_.refresh();
        registration_.restore(fleet_state_.era());
    }

    void remove_unreachable(time_point now)
    {
        for (auto const& it : members_.unreachable_for(removal_timeout, now)) {
            if (it.data_centre != self_.data_centre)
                continue;
            log(log_event::vm_removed, {{"vm", it.vm.text()}});
            members_.remove(it.vm);
            environment_.remove_vm(it.vm, [](store_status) {});
        }
    }

    Environment& environment_;
    timer_service& timers_;
    vm_record self_;
    time_point started_at_{};
    fleet_state fleet_state_;
    member_table members_;
    sync_server sync_server_;
    store_access<Environment> store_access_;
    registration<Environment> registration_;
    hub_selector hub_selector_;
    hub_probes<Environment> hub_probes_;
    hub_exchange<Environment> hub_exchange_;
    rollout_control<Environment> rollouts_;

    /// The hub that this VM sends its questions to; empty if it is the hub.
    vm_id hub_;
    bool hub_chosen_ = false;
    bool sync_in_flight_ = false;
    bool sync_scheduled_ = false;
    /// Requests per second from callers.
    double load_ = 0;
    member_list_position hub_members_;
    time_point next_urgent_report_{};
    policy_pointer policy_;
    std::uint64_t published_members_ = 0;
    std::vector<data_centre_id> published_closures_;

    time_point last_tick_at_{};
    timer_service::subscription tick_timer_;
    timer_service::subscription entries_timer_;
    timer_service::subscription sync_timer_;
};

} // namespace pomelohinge

#endif
