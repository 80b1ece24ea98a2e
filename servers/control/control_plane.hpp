#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_PLANE_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_PLANE_HPP

#include "core/log.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/control_status.hpp"
#include "servers/control/hub_selector.hpp"
#include "servers/control/registration.hpp"
#include "servers/control/store_reader.hpp"
#include "servers/control/sync_server.hpp"

#include <algorithm>
#include <set>

namespace pomelohinge {

/// The control thread of one VM: whom it follows, what it knows and what it
/// tells. It decides only; messages and the store are reached through
/// `Environment`.
template <class Environment>
class control_plane
{
public:
    control_plane(vm_record self, std::vector<std::string> seeds,
        Environment& environment, timer_service& timers)
        : environment_(environment), timers_(timers), self_(std::move(self)),
          members_(self_), desk_(self_, knowledge_, members_),
          reader_(environment, timers, knowledge_, [this] { changed(); }),
          registration_(environment, timers, self_, members_, std::move(seeds))
    {
        // The environment may hold this object and is complete only here.
        static_assert(ControlEnvironment<Environment>);
    }

    void start()
    {
        auto const now = environment_.now();
        started_at_ = now;
        log(log_event::control_started,
            {{"vm", self_.vm.text()},
                {"data_centre", self_.data_centre.text()}});
        registration_.start([this] { follow(); });
        tick_timer_ = timers_.every(now, tick_period, [this] { tick(); });
        entries_timer_ =
            timers_.every(now, entries_period, [this] { choose_entries(); });
        publish();
    }

    /// Stops as planned: callers and hubs are told at once.
    void leave()
    {
        self_.standing = vm_standing::leaving;
        members_.set_self(self_, load_);
        publish();
        news();
        sync_now();
    }

    /// A target has turned bad: the others are told at once.
    void report_failures()
    {
        auto const now = environment_.now();
        if (!followed_ || now < next_alarm_)
            return;
        next_alarm_ = now + alarm_period;
        environment_.collect_report([this](traffic_report report) {
            if (is_hub())
                return environment_.distribute_report(
                    desk_.exchange_own(std::move(report), environment_.now()));
            auto const* const hub = members_.find(hub_);
            if (hub == nullptr)
                return;
            auto question = make_question(sync_relation::member);
            question.members_source = members_source_;
            question.members_sequence = members_sequence_;
            question.liveness_timeout = busy_patience;
            question.report = std::move(report);
            environment_.send_sync(hub->record.peers_address, question,
                [this, asked_at = environment_.now()](sync_reply reply) {
                    if (!reply.reached)
                        return;
                    environment_.distribute_report(reply.others);
                    reply.members.reset();
                    take_reply(std::move(reply), asked_at);
                });
        });
    }

    void answer_sync(
        sync_question question, std::function<void(sync_reply)> reply)
    {
        auto const now = environment_.now();
        auto const sequence = members_.sequence();
        desk_.answer(std::move(question), now, std::move(reply));
        if (members_.sequence() != sequence)
            members_changed();
        follow();
    }

    vm_standing standing() const { return self_.standing; }

    control_status status() const
    {
        control_status it;
        it.standing = self_.standing;
        it.configuration_version = knowledge_.document().version;
        it.targets_revision = knowledge_.targets().revision();
        it.targets = knowledge_.targets().size();
        it.read_age = knowledge_.read_age(environment_.now());
        it.hub = hub_.text();
        it.reads_store = reader_.active();
        it.members = members_.members();
        return it;
    }

private:
    static constexpr duration tick_period = std::chrono::milliseconds(100);
    static constexpr duration entries_period = std::chrono::milliseconds(500);
    /// A VM that carries traffic tells and hears this often.
    static constexpr duration busy_period = std::chrono::milliseconds(200);
    /// Alarms of one VM come no closer together.
    static constexpr duration alarm_period = std::chrono::milliseconds(50);
    static constexpr duration busy_patience = std::chrono::milliseconds(1000);
    /// Another VM waits so long for news before it asks again.
    static constexpr duration idle_wait = std::chrono::milliseconds(900);
    static constexpr duration idle_patience = std::chrono::milliseconds(2500);
    /// Hubs of data centres tell each other this often.
    static constexpr duration exchange_period = std::chrono::milliseconds(250);
    static constexpr duration exchange_patience =
        std::chrono::milliseconds(1500);
    /// A VM that was asked lately goes on reading the store.
    static constexpr duration asked_memory = std::chrono::milliseconds(3000);
    /// A VM that began to read the store goes on for so long.
    static constexpr duration read_memory = std::chrono::milliseconds(3000);
    /// A VM without configuration goes to the store itself when no hub has
    /// told it one for so long.
    static constexpr duration hub_patience_at_start =
        std::chrono::milliseconds(400);
    /// Pause before the next sync when the hub makes it wait itself.
    static constexpr duration shortest_pause = std::chrono::milliseconds(20);
    /// Pause after a failed sync.
    static constexpr duration sync_retry = std::chrono::milliseconds(100);
    /// Traffic below this many requests a second does not make a VM busy.
    static constexpr double busy_load = 0.5;
    /// VMs that were silent for so long are removed from the store.
    static constexpr duration removal_time = std::chrono::seconds(60);

    bool is_hub() const { return hub_.empty() && registration_.known(); }

    bool is_busy() const
    {
        auto const* const own = members_.find(self_.vm);
        return load_ > busy_load || (own != nullptr && own->entry);
    }

    // Whom this VM follows, and whether it reads the store itself.

    void follow()
    {
        if (!registration_.known())
            return;
        auto const now = environment_.now();
        if (hub_heard_at_ == time_point{})
            hub_heard_at_ = now;
        auto const members = members_.members();
        note_own_freshness(now);
        auto const chosen =
            choice_.choose(members, self_.data_centre, self_.vm, now);
        auto const hub = chosen ? chosen->vm : vm_id();
        if (hub != hub_ || !followed_) {
            log(log_event::hub_chosen,
                {{"hub", chosen ? hub.text() : self_.vm.text()}});
            hub_ = hub;
            followed_ = true;
        }
        reader_.set_active(needs_store(now));
        desk_.set_store_reached(!reader_.active() || reader_.reached());
        if (!sync_under_way_ && !sync_planned_)
            sync_now();
        exchange_with_hubs();
    }

    /// Whether this VM is to read the store: for the whole fleet as the first
    /// hub, for those who ask it when what it hears is stale, and for itself
    /// when nobody tells it anything.
    bool needs_store(time_point now)
    {
        bool const serves_others =
            is_hub() || desk_.asked_within(asked_memory, now);
        bool const alone =
            !knowledge_.ready() && now - hub_heard_at_ > hub_patience_at_start;
        bool const stale = knowledge_.read_age(now) > stale_read_age ||
            !other_hubs_reach_store_;
        if (serves_others && stale)
            read_until_ = now + read_memory;
        return alone || now < read_until_ || (is_hub() && is_first_hub());
    }

    /// Whether no data centre before this one in order has a live VM.
    bool is_first_hub() const
    {
        auto const members = members_.members();
        return std::none_of(
            members.begin(), members.end(), [&](auto const& it) {
                return it.alive && it.record.data_centre < self_.data_centre;
            });
    }

    /// This VM's own reads count like those of another candidate.
    void note_own_freshness(time_point now)
    {
        bool const has_tried =
            reader_.active() && now - started_at_ > stale_read_age;
        if (has_tried)
            choice_.answered(self_.vm,
                reader_.reached() ? duration::zero() : knowledge_.read_age(now),
                now);
    }

    // Telling the hub and hearing from it.

    void plan_sync(duration wait)
    {
        sync_planned_ = true;
        sync_timer_ = timers_.once(environment_.now(), wait, [this] {
            sync_planned_ = false;
            sync_now();
        });
    }

    void sync_now()
    {
        if (sync_under_way_)
            return;
        sync_under_way_ = true;
        environment_.collect_report([this](traffic_report report) {
            note_load(report.load);
            if (is_hub() || !registration_.known())
                return exchange_own(std::move(report));
            ask_hub(std::move(report));
        });
    }

    void note_load(double load)
    {
        load_ = load;
        members_.set_self(self_, load);
    }

    void exchange_own(traffic_report report)
    {
        sync_under_way_ = false;
        environment_.distribute_report(
            desk_.exchange_own(std::move(report), environment_.now()));
        plan_sync(busy_period);
    }

    sync_question make_question(sync_relation relation)
    {
        sync_question question;
        question.from = self_;
        question.relation = relation;
        question.configuration_version = knowledge_.document().version;
        question.targets = knowledge_.targets().position();
        question.closures_revision = knowledge_.closures().revision;
        return question;
    }

    void ask_hub(traffic_report report)
    {
        auto const* const hub = members_.find(hub_);
        if (hub == nullptr) {
            sync_under_way_ = false;
            return plan_sync(sync_retry);
        }
        auto question = make_question(sync_relation::member);
        question.members_source = members_source_;
        question.members_sequence = members_sequence_;
        bool const patient = knowledge_.ready() && !is_busy() &&
            self_.standing == vm_standing::serving;
        question.long_poll_timeout = patient ? idle_wait
            : knowledge_.ready()             ? busy_period
                                             : duration::zero();
        question.liveness_timeout = is_busy() ? busy_patience : idle_patience;
        question.is_idle = !is_busy();
        question.report = std::move(report);
        environment_.send_sync(hub->record.peers_address, question,
            [this, asked = hub_, asked_at = environment_.now()](
                sync_reply reply) {
                hub_answered(asked, std::move(reply), asked_at);
            });
    }

    void hub_answered(vm_id const& asked, sync_reply reply, time_point asked_at)
    {
        sync_under_way_ = false;
        auto const now = environment_.now();
        if (!reply.reached) {
            log(log_event::hub_unreachable, {{"hub", asked.text()}});
            choice_.failed(asked, now);
            plan_sync(sync_retry);
            return follow();
        }
        hub_heard_at_ = now;
        choice_.answered(asked, reply.read_age, now);
        other_hubs_reach_store_ = reply.store_reached;
        if (reply.members) {
            members_source_ = reply.members_source;
            members_sequence_ = reply.members_sequence;
        }
        // The age may have grown while the answer waited at the hub, which
        // gives it as of its sending.
        environment_.distribute_report(reply.others);
        take_reply(std::move(reply), asked_at);
        plan_sync(knowledge_.ready() ? shortest_pause : busy_period);
        follow();
    }

    void take_reply(sync_reply reply, time_point asked_at)
    {
        bool changed_any = false;
        if (reply.members) {
            members_.told(*reply.members, environment_.now());
            changed_any = true;
        }
        if (reply.configuration.text != nullptr &&
            knowledge_.lacks_configuration(reply.configuration.version))
            changed_any |= take_configuration(reply.configuration);
        if (reply.read_age != duration::max())
            knowledge_.confirm(
                reply.configuration.version, asked_at - reply.read_age);
        if (reply.targets)
            changed_any |= knowledge_.take_targets(std::move(*reply.targets));
        if (reply.closures)
            changed_any |= knowledge_.take_closures(std::move(*reply.closures));
        if (changed_any)
            return changed();
        environment_.set_read_at(knowledge_.read_at());
    }

    bool take_configuration(configuration_document const& document)
    {
        findings found("peer");
        auto read = environment_.decode_configuration(*document.text, found);
        if (!read) {
            log(log_event::configuration_unreadable,
                {{"version", document.version}, {"findings", found.to_text()}});
            return false;
        }
        log(log_event::configuration_applied,
            {{"version", document.version}, {"source", "hub"}});
        knowledge_.set_configuration(document, *read);
        return true;
    }

    // Hubs of other data centres.

    void exchange_with_hubs()
    {
        auto const now = environment_.now();
        if (!is_hub() || now < next_exchange_)
            return;
        next_exchange_ = now + exchange_period;
        std::set<data_centre_id> others;
        for (auto const& it : members_.members())
            if (it.record.data_centre != self_.data_centre)
                others.insert(it.record.data_centre);
        for (auto const& it : others)
            exchange_with(it);
    }

    void exchange_with(data_centre_id const& data_centre)
    {
        auto const now = environment_.now();
        auto const hub =
            choice_.choose(members_.members(), data_centre, vm_id(), now);
        if (!hub || exchanging_.contains(data_centre))
            return;
        exchanging_.insert(data_centre);
        auto question = make_question(sync_relation::hub);
        question.members_source = distant_members_[data_centre].first;
        question.members_sequence = distant_members_[data_centre].second;
        question.liveness_timeout = exchange_patience;
        question.report = desk_.for_distant(data_centre);
        environment_.send_sync(hub->peers_address, question,
            [this, data_centre, hub = hub->vm, asked_at = now](
                sync_reply reply) {
                exchanging_.erase(data_centre);
                distant_answered(data_centre, hub, std::move(reply), asked_at);
            });
    }

    void distant_answered(data_centre_id const& data_centre, vm_id const& hub,
        sync_reply reply, time_point asked_at)
    {
        auto const now = environment_.now();
        if (!reply.reached)
            return choice_.failed(hub, now);
        choice_.answered(hub, reply.read_age, now);
        other_hubs_reach_store_ = reply.store_reached;
        if (reply.members) {
            distant_members_[data_centre] = {
                reply.members_source, reply.members_sequence};
            // What another hub says of this data centre it has from here.
            std::erase_if(*reply.members, [&](auto const& it) {
                return it.record.data_centre != data_centre;
            });
        }
        desk_.take_distant(data_centre, reply.others, now);
        take_reply(std::move(reply), asked_at);
    }

    // What follows from changes.

    /// The knowledge or the members have changed, or were confirmed.
    void changed()
    {
        if (self_.standing == vm_standing::starting && knowledge_.ready()) {
            self_.standing = vm_standing::serving;
            members_.set_self(self_, load_);
            log(log_event::started,
                {{"vm", self_.vm.text()},
                    {"version", knowledge_.document().version}});
            sync_now();
        }
        publish();
        news();
    }

    void members_changed()
    {
        publish();
        news();
    }

    void news() { desk_.answer_waiting(environment_.now()); }

    /// Publishes a snapshot if anything in it has changed.
    void publish()
    {
        auto const sequence = members_.sequence();
        bool const same = policy_ != nullptr &&
            policy_->index == knowledge_.index() &&
            policy_->targets == knowledge_.catalogue() &&
            published_members_ == sequence &&
            published_closures_ == knowledge_.closures().closed &&
            policy_->leaving == (self_.standing == vm_standing::leaving);
        if (!same) {
            auto next = std::make_shared<policy>();
            next->index = knowledge_.index();
            next->targets = knowledge_.catalogue();
            next->members = std::make_shared<fleet_members>(members_.members());
            auto const& closed = knowledge_.closures().closed;
            next->closed = {closed.begin(), closed.end()};
            next->ready = knowledge_.ready();
            next->leaving = self_.standing == vm_standing::leaving;
            next->sequence = policy_ == nullptr ? 1 : policy_->sequence + 1;
            policy_ = next;
            published_members_ = sequence;
            published_closures_ = closed;
            environment_.publish(policy_);
        }
        // A later read must not vouch for a snapshot that is on its way.
        environment_.set_read_at(knowledge_.read_at());
    }

    void tick()
    {
        auto const now = environment_.now();
        auto const sequence = members_.sequence();
        members_.expire(now);
        desk_.expire(now);
        if (members_.sequence() != sequence)
            members_changed();
        if (desk_.next_due() <= now)
            news();
        follow();
    }

    void choose_entries()
    {
        auto const now = environment_.now();
        if (!is_hub() || now - started_at_ < entries_period)
            return;
        auto const sequence = members_.sequence();
        desk_.choose_entries(now);
        if (members_.sequence() != sequence)
            members_changed();
        remove_silent(now);
        registration_.refresh();
    }

    void remove_silent(time_point now)
    {
        for (auto const& it : members_.silent_for(removal_time, now)) {
            if (it.data_centre != self_.data_centre)
                continue;
            log(log_event::vm_removed, {{"vm", it.vm.text()}});
            members_.forget(it.vm);
            environment_.remove_vm(it.vm, [](store_status) {});
        }
    }

    Environment& environment_;
    timer_service& timers_;
    vm_record self_;
    time_point started_at_{};
    fleet_state knowledge_;
    member_table members_;
    sync_server desk_;
    store_reader<Environment> reader_;
    registration<Environment> registration_;
    hub_selector choice_;

    vm_id hub_;
    bool followed_ = false;
    bool sync_under_way_ = false;
    bool sync_planned_ = false;
    double load_ = 0;
    std::uint64_t members_source_ = 0;
    std::uint64_t members_sequence_ = 0;
    std::map<data_centre_id, std::pair<std::uint64_t, std::uint64_t>>
        distant_members_;
    std::set<data_centre_id> exchanging_;
    time_point next_exchange_{};
    time_point hub_heard_at_{};
    time_point read_until_{};
    time_point next_alarm_{};
    bool other_hubs_reach_store_ = true;

    policy_pointer policy_;
    std::uint64_t published_members_ = 0;
    std::vector<data_centre_id> published_closures_;

    timer_service::subscription tick_timer_;
    timer_service::subscription entries_timer_;
    timer_service::subscription sync_timer_;
};

} // namespace pomelohinge

#endif
