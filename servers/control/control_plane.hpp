#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_PLANE_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_PLANE_HPP

#include "charts/chart_list.hpp"
#include "core/log.hpp"
#include "core/timer_service.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/target_control.hpp"
#include "servers/membership/configuration_follower.hpp"
#include "servers/membership/reply_stamps.hpp"
#include "servers/membership/vm_monitor.hpp"
#include "servers/ownership/freshness.hpp"

#include <algorithm>

namespace pomelohinge {

/// Part of a VM's life in the fleet.
enum class control_phase {
    /// It learns views and configuration and owns nothing.
    observing,
    /// Its record is being written into the view.
    joining,
    serving,
    leaving,
    left,
};

template <>
inline constexpr auto
    name_table<control_phase> = make_name_table<control_phase>({
        {control_phase::observing, "observing"},
        {control_phase::joining, "joining"},
        {control_phase::serving, "serving"},
        {control_phase::leaving, "leaving"},
        {control_phase::left, "left"},
    });
static_assert(is_ordered<control_phase>());

/// What `status` shows of the control plane.
struct control_status
{
    control_phase phase = control_phase::observing;
    std::uint64_t configuration_version = 0;
    std::uint64_t view_digest = 0;
    bool lease_holds = false;
    bool watcher = false;
    duration read_age = duration::max();
    fleet_view view;
    std::vector<target_status> targets;
};

/// The control thread of one VM: membership, ownership, configuration and
/// the verdicts on targets. It decides only; messages and the store are
/// reached through `Environment`.
template <class Environment>
class control_plane
{
public:
    control_plane(chart_list const& rules, vm_record self,
        std::vector<std::string> seeds, Environment& environment,
        timer_service& timers)
        : environment_(environment), timers_(timers), self_(std::move(self)),
          seeds_(std::move(seeds)), configuration_(rules.configuration),
          owners_(self_.vm), monitor_(rules.vm), targets_(rules, environment),
          stamps_(self_.incarnation)
    {
        // The environment may hold this object and is complete only here.
        static_assert(ControlEnvironment<Environment>);
    }

    /// Begins to observe, and joins when it is safe.
    void start()
    {
        auto const now = environment_.now();
        observing_since_ = now;
        tick_timer_ = timers_.every(now, tick_period, [this] { tick(); });
        report_timer_ = timers_.every(
            now, floor_report_period, [this] { targets_.report(); });
        publish();
        heartbeat();
        tick();
    }

    /// Leaves as planned: stops owning, hands over, and calls `done` once
    /// the others know.
    void leave(std::function<void()> done)
    {
        log(log_event::stopping, {{"vm", self_.vm.text()}});
        left_ = std::move(done);
        bool const was_serving = phase_ == control_phase::serving ||
            phase_ == control_phase::joining;
        phase_ = control_phase::leaving;
        publish();
        if (!was_serving)
            return finish_leaving();
        self_.standing = vm_standing::leaving;
    }

    /// Removes this VM from the view; its last step.
    void remove_self(std::function<void()> done)
    {
        removed_ = std::move(done);
        phase_ = control_phase::left;
        write_own_record();
    }

    // Messages of other VMs.

    sync_reply answer_sync(sync_question const& question)
    {
        auto const now = environment_.now();
        last_heartbeat_ = now;
        note_vm(question, now);
        learn_from(question, now);
        sync_reply reply;
        reply.reached = true;
        reply.stamp = stamps_.make(now);
        reply.ready = configuration_.ready();
        reply.configuration_version = configuration_.version();
        auto const asked = question.configuration_version;
        if (configuration_.keeps_after(asked))
            reply.entries =
                configuration_.entries_after(asked, most_entries_sent);
        else if (asked < configuration_.version())
            reply.whole = print_configuration(configuration_.current());
        reply.views = newer_views(question.epochs);
        reply.read_age = read_age(now);
        refresh_own_summary(now);
        for (auto const& [data_centre, it] : evidence_.summaries())
            reply.summaries.push_back(
                {data_centre, it.summary, now - it.made_at});
        return reply;
    }

    void released(release_notice const& notice)
    {
        if (!taken_notices_.insert(notice.id).second)
            return;
        view_epochs epochs;
        for (auto const& it : notice.epochs)
            epochs.emplace(it.data_centre, it.epoch);
        owners_.release(notice.from, epochs, notice.what, environment_.now());
        publish();
        environment_.take_over({notice.shares, notice.records});
    }

    floor_reply answer_floor(floor_question const& question)
    {
        return targets_.answer(question);
    }

    void attempted(target_id const& target, attempt_report const& report)
    {
        targets_.attempted(target, report);
    }

    control_status status() const
    {
        auto const now = environment_.now();
        return {phase_, configuration_.version(), view_.digest(),
            freshness_.may_act(now), is_watcher(), read_age(now), view_,
            targets_.status()};
    }

private:
    static constexpr duration tick_period = std::chrono::milliseconds(100);
    /// A heartbeat to the watcher comes more often in a small data centre.
    static constexpr duration shortest_heartbeat =
        std::chrono::milliseconds(400);
    static constexpr duration longest_heartbeat =
        std::chrono::milliseconds(1000);
    static constexpr duration heartbeat_per_vm = std::chrono::milliseconds(10);
    /// After a heartbeat without an answer the next watcher is tried soon.
    static constexpr duration heartbeat_retry = std::chrono::milliseconds(100);
    /// VMs of a data centre that follow the store themselves.
    static constexpr std::size_t watchers_per_data_centre = 2;
    /// Ranks that a VM tries when its watcher does not answer.
    static constexpr std::size_t watcher_ranks = 3;
    /// Without an answer from a watcher for so long, the VM follows the
    /// store itself.
    static constexpr duration watcher_patience =
        std::chrono::milliseconds(1500);
    /// A watcher that was asked by others lately goes on with its work.
    static constexpr duration watcher_memory = std::chrono::seconds(3);
    static constexpr duration watch_retry = std::chrono::milliseconds(300);
    /// Other VMs try a store that does not answer more rarely.
    static constexpr duration rare_retry = std::chrono::seconds(2);
    /// Without an answer from another data centre's watchers for so long,
    /// its VMs are judged from here.
    static constexpr duration silent_data_centre = std::chrono::seconds(5);
    static constexpr duration judgement_time = std::chrono::milliseconds(1200);
    static constexpr duration learn_period = std::chrono::milliseconds(200);
    static constexpr duration exchange_period = std::chrono::seconds(1);
    static constexpr std::size_t most_entries_sent = 64;
    static constexpr duration observing_time =
        freshness_lease + takeover_margin;

    // Reading the store.

    bool wants_store(time_point now) const
    {
        if (phase_ == control_phase::left)
            return false;
        bool const is_stale = read_age(now) > watcher_patience;
        return is_stale || catch_up_ || is_watcher() ||
            now - last_heartbeat_ < watcher_memory;
    }

    /// Whether this VM is among the watchers of its data centre.
    bool is_watcher() const
    {
        auto const ranked = watchers(watchers_per_data_centre);
        return std::any_of(ranked.begin(), ranked.end(),
            [&](auto const* it) { return it->vm == self_.vm; });
    }

    std::vector<vm_record const*> watchers(std::size_t count) const
    {
        return watchers_of(self_.data_centre, count);
    }

    std::vector<vm_record const*> watchers_of(
        data_centre_id const& data_centre, std::size_t count) const
    {
        return owners_.owners(
            {owned_kind::watcher, data_centre.text(), &data_centre, count});
    }

    void follow_store()
    {
        auto const now = environment_.now();
        if (watching_ || now < next_watch_ || !wants_store(now))
            return;
        watching_ = true;
        environment_.watch_store(revision_, [this, now](store_changes changes) {
            watching_ = false;
            store_answered(std::move(changes), now);
            follow_store();
        });
    }

    /// Up to twice the shortest wait, drawn at random, so that VMs do not
    /// try a store that comes back all at once.
    duration retry_wait()
    {
        auto const shortest = is_watcher() ? watch_retry : rare_retry;
        auto const spread = static_cast<std::uint64_t>(shortest.count());
        return shortest +
            duration(
                static_cast<duration::rep>(environment_.random() % spread));
    }

    void store_answered(store_changes changes, time_point asked_at)
    {
        auto const now = environment_.now();
        if (changes.status != store_status::done) {
            next_watch_ = now + retry_wait();
            if (std::exchange(store_reached_, false))
                log(log_event::store_unreachable);
            return;
        }
        if (!std::exchange(store_reached_, true))
            log(log_event::store_reached);
        // An answer older than what is known proves nothing.
        if (changes.revision < revision_) {
            next_watch_ = now + watch_retry;
            return;
        }
        revision_ = changes.revision;
        catch_up_ = false;
        bool changed = false;
        for (auto& it : changes.changes)
            changed |= take(std::move(it));
        configuration_.confirmed_current(now);
        // Traffic threads must not get a new lease for a former policy.
        if (changed || !policy_->ready)
            publish();
        confirm_read(asked_at);
    }

    bool take(store_change change)
    {
        if (auto* const view = std::get_if<data_centre_view>(&change))
            return adopt(std::move(*view));
        return configuration_.offer(
            std::get<journal_entry>(change), environment_.now());
    }

    void confirm_read(time_point read_at)
    {
        freshness_.confirm(read_at);
        renew_lease();
    }

    void renew_lease()
    {
        if (phase_ == control_phase::serving)
            environment_.set_lease_end(freshness_.lease_end());
    }

    duration read_age(time_point now) const
    {
        auto const last = freshness_.last_read();
        return last == time_point{} ? duration::max() : now - last;
    }

    // Views.

    bool adopt(data_centre_view view)
    {
        auto const data_centre = view.data_centre;
        auto const before = view_;
        if (!view_.adopt(std::move(view)))
            return false;
        auto const now = environment_.now();
        owners_.adopt(view_, now);
        log(log_event::view_changed,
            {{"data_centre", data_centre.text()},
                {"epoch", view_.find(data_centre)->epoch},
                {"vms", view_.size()}});
        if (data_centre == self_.data_centre) {
            own_view_changed();
            book_.follow(*view_.find(data_centre));
        }
        note_joined(before);
        return true;
    }

    /// Remembers VMs that are new in the view; they may have gained keys
    /// from this VM and are told once all threads have stopped acting.
    void note_joined(fleet_view const& before)
    {
        for (auto& it : joined_between(before, view_))
            if (it.vm != self_.vm)
                joined_.push_back(std::move(it));
    }

    void own_view_changed()
    {
        auto const* const record = view_.find(self_.vm);
        bool const listed =
            record != nullptr && record->incarnation == self_.incarnation;
        switch (phase_) {
        case control_phase::joining:
            if (listed)
                begin_serving();
            return;
        case control_phase::serving:
            // Others took this VM for dead: it starts over.
            if (!listed)
                start_over();
            return;
        case control_phase::leaving:
            if (!listed || record->standing == vm_standing::leaving)
                finish_leaving();
            return;
        case control_phase::left:
            if (!listed)
                finish_removal();
            return;
        case control_phase::observing:
            return;
        }
    }

    void begin_serving()
    {
        phase_ = control_phase::serving;
        log(log_event::started, {{"vm", self_.vm.text()}});
    }

    void start_over()
    {
        phase_ = control_phase::observing;
        observing_since_ = environment_.now();
        self_.incarnation = environment_.random();
        environment_.set_lease_end(time_point{});
        log(log_event::freshness_lost, {{"vm", self_.vm.text()}});
    }

    void finish_leaving()
    {
        if (auto const done = std::exchange(left_, nullptr))
            done();
    }

    void finish_removal()
    {
        if (auto const done = std::exchange(removed_, nullptr))
            done();
    }

    std::vector<data_centre_view> newer_views(
        std::vector<view_epoch> const& known) const
    {
        std::vector<data_centre_view> newer;
        for (auto const& [data_centre, view] : view_.data_centres()) {
            auto const it = std::find_if(known.begin(), known.end(),
                [&wanted = data_centre](
                    auto const& epoch) { return epoch.data_centre == wanted; });
            if (it == known.end() || it->epoch < view.epoch)
                newer.push_back(view);
        }
        return newer;
    }

    data_centre_view own_view() const
    {
        auto const* const view = view_.find(self_.data_centre);
        return view != nullptr ? *view
                               : data_centre_view{self_.data_centre, 0, {}};
    }

    /// Joins, leaves or goes, as the phase asks for, by a write to the view.
    void write_own_record()
    {
        auto const now = environment_.now();
        if (writing_ || now < next_write_)
            return;
        auto const held = own_view();
        auto const next = phase_ == control_phase::left
            ? without_vm(held, self_)
            : with_vm(held, self_);
        if (next.epoch == held.epoch)
            return finish_removal();
        write_view(next);
    }

    void write_view(data_centre_view const& next)
    {
        writing_ = true;
        environment_.write_view(next, [this, next](store_status status) {
            writing_ = false;
            next_write_ = environment_.now() + write_backoff();
            if (status == store_status::done) {
                if (adopt(next))
                    publish();
                return;
            }
            // The newer view comes with the next read of the store.
            catch_up_ = true;
            log(log_event::view_write_failed, {{"status", to_name(status)}});
        });
    }

    /// Drawn at random, so that VMs that start together do not collide over
    /// and over.
    duration write_backoff()
    {
        constexpr std::uint64_t shortest_ms = 50;
        constexpr std::uint64_t spread_ms = 250;
        return std::chrono::milliseconds(
            shortest_ms + environment_.random() % spread_ms);
    }

    // Heartbeats.

    duration heartbeat_period() const
    {
        auto const vms = static_cast<duration::rep>(own_view().vms.size());
        return std::clamp(
            heartbeat_per_vm * vms, shortest_heartbeat, longest_heartbeat);
    }

    std::vector<view_epoch> known_epochs() const
    {
        std::vector<view_epoch> epochs;
        for (auto const& [data_centre, epoch] : view_.epochs())
            epochs.push_back({data_centre, epoch});
        return epochs;
    }

    sync_question make_question(time_point now) const
    {
        sync_question question;
        question.from = self_;
        question.configuration_version = configuration_.version();
        question.epochs = known_epochs();
        question.view_digest = view_.digest();
        question.read_age = read_age(now);
        return question;
    }

    /// The address to send the next heartbeat to; empty if this VM is the
    /// first watcher itself or knows nobody.
    std::string heartbeat_address()
    {
        auto ranked = watchers(watcher_ranks);
        std::erase_if(
            ranked, [&](auto const* it) { return it->vm == self_.vm; });
        if (ranked.empty())
            return seeds_.empty() ? std::string()
                                  : seeds_[failed_syncs_ % seeds_.size()];
        return ranked[failed_syncs_ % ranked.size()]->peers_address;
    }

    void heartbeat()
    {
        auto const now = environment_.now();
        heartbeat_timer_ =
            timers_.once(now, heartbeat_period(), [this] { heartbeat(); });
        if (phase_ == control_phase::left)
            return;
        auto const address = heartbeat_address();
        if (!address.empty())
            sync_with(address, true);
        exchange_with_others(now);
    }

    void sync_with(std::string const& address, bool is_heartbeat)
    {
        auto const now = environment_.now();
        auto question = make_question(now);
        question.stamp = last_stamps_[address];
        environment_.send_sync(address, question,
            [this, now, address, is_heartbeat](sync_reply reply) {
                last_stamps_[address] = reply.stamp;
                if (auto const* const at = data_centre_of(address);
                    reply.reached && at != nullptr)
                    exchanged_at_[*at] = environment_.now();
                sync_answered(std::move(reply), now, is_heartbeat);
            });
    }

    data_centre_id const* data_centre_of(std::string const& address) const
    {
        for (auto const& [data_centre, view] : view_.data_centres())
            for (auto const& it : view.vms)
                if (it.peers_address == address)
                    return &data_centre;
        return nullptr;
    }

    /// Watchers ask those of other data centres, so that views and evidence
    /// go round while the store is away.
    void exchange_with_others(time_point now)
    {
        bool const due =
            is_watcher() && now - last_exchange_ >= exchange_period;
        if (!due)
            return;
        last_exchange_ = now;
        for (auto const& [data_centre, view] : view_.data_centres()) {
            if (data_centre == self_.data_centre)
                continue;
            auto const ranked = watchers_of(data_centre, watcher_ranks);
            if (ranked.empty() || ranked.front()->data_centre != data_centre)
                continue;
            auto const* const peer =
                ranked[environment_.random() % ranked.size()];
            sync_with(peer->peers_address, false);
            judge_silent(data_centre, now);
        }
    }

    /// Judges the VMs of a data centre none of whose watchers answers: its
    /// own watchers, who would do it, may all be dead.
    void judge_silent(data_centre_id const& data_centre, time_point now)
    {
        auto& heard = exchanged_at_.try_emplace(data_centre, now).first->second;
        if (now - heard < silent_data_centre)
            return;
        heard = now;
        auto const reached = std::make_shared<std::set<vm_id>>();
        auto const* const view = view_.find(data_centre);
        for (auto const& it : view->vms)
            ask_two(it, [reached, vm = it.vm] { reached->insert(vm); });
        judgement_timers_[data_centre] =
            timers_.once(now, judgement_time, [this, data_centre, reached] {
                remove_unreached(data_centre, *reached);
            });
    }

    /// Asks this VM itself and another one, of a third data centre if there
    /// is one, whether they reach `asked`.
    void ask_two(vm_record const& asked, std::function<void()> reached)
    {
        ask_one(self_, asked, reached);
        auto others = view_.vms();
        std::erase_if(others, [&](auto const& it) {
            return it.vm == self_.vm || it.data_centre == asked.data_centre;
        });
        if (others.empty())
            return;
        auto const third =
            std::partition(others.begin(), others.end(), [&](auto const& it) {
                return it.data_centre != self_.data_centre;
            });
        auto const n = third == others.begin()
            ? others.size()
            : static_cast<std::size_t>(third - others.begin());
        ask_one(others[environment_.random() % n], asked, reached);
    }

    /// Asks one VM whether it reaches another.
    void ask_one(vm_record const& asker, vm_record const& asked,
        std::function<void()> reached)
    {
        environment_.ask_reach(asker, {asked.peers_address, {}},
            [reached = std::move(reached)](reach_verdict verdict) {
                if (verdict == reach_verdict::reached)
                    reached();
            });
    }

    void remove_unreached(
        data_centre_id const& data_centre, std::set<vm_id> const& reached)
    {
        auto const* const view = view_.find(data_centre);
        if (writing_ || !freshness_.may_act(environment_.now()))
            return;
        auto next = *view;
        std::erase_if(
            next.vms, [&](auto const& it) { return !reached.contains(it.vm); });
        if (next.vms.size() == view->vms.size())
            return;
        ++next.epoch;
        write_view(next);
    }

    void sync_answered(sync_reply reply, time_point asked_at, bool counts)
    {
        if (!reply.reached) {
            if (counts) {
                ++failed_syncs_;
                heartbeat_timer_ = timers_.once(environment_.now(),
                    heartbeat_retry, [this] { heartbeat(); });
            }
            return;
        }
        if (counts) {
            // The first watcher is tried again now and then.
            if (failed_syncs_ > 0 && environment_.random() % 8 == 0)
                failed_syncs_ = 0;
        }
        bool const changed = take_reply(reply, asked_at);
        if (changed || (reply.ready && !policy_->ready))
            publish();
        if (reply.read_age != duration::max() && is_current(reply))
            confirm_read(asked_at - reply.read_age);
    }

    /// Whether this VM now holds all that the reply's sender held.
    bool is_current(sync_reply const& reply) const
    {
        return configuration_.version() >= reply.configuration_version;
    }

    /// Ages in a reply count from when it was asked for, since it may have
    /// lain in a queue.
    bool take_reply(sync_reply& reply, time_point asked_at)
    {
        auto const now = environment_.now();
        bool changed = false;
        for (auto& it : reply.views)
            changed |= adopt(std::move(it));
        if (!reply.whole.empty())
            changed |= take_whole(reply);
        for (auto const& it : reply.entries)
            changed |= configuration_.offer(it, now);
        if (reply.ready &&
            reply.configuration_version <= configuration_.version())
            configuration_.confirmed_current(now);
        for (auto const& it : reply.summaries)
            if (!(is_watcher() && it.data_centre == self_.data_centre))
                evidence_.put(it.data_centre, it.summary, asked_at - it.age);
        return changed;
    }

    bool take_whole(sync_reply const& reply)
    {
        findings found("peer");
        auto whole = parse_configuration(reply.whole, found);
        if (!whole) {
            log(log_event::configuration_entry_refused,
                {{"findings", found.to_text()}});
            return false;
        }
        return configuration_.offer_whole(
            std::move(*whole), reply.configuration_version, environment_.now());
    }

    /// A VM that knows more than its watcher, as when it alone reached the
    /// store, is asked for it.
    void learn_from(sync_question const& question, time_point now)
    {
        bool const knows_more =
            question.configuration_version > configuration_.version();
        if (!knows_more || now - last_learned_ < learn_period)
            return;
        last_learned_ = now;
        sync_with(question.from.peers_address, false);
    }

    // Watching the VMs of the data centre.

    void note_vm(sync_question const& question, time_point now)
    {
        if (question.from.data_centre != self_.data_centre)
            return;
        monitor_.heard(question.from.vm, question.from.incarnation, now);
        // What was said may have lain in a queue for long; it was said
        // after the reply whose stamp it brings back.
        if (auto const said_after = stamps_.find(question.stamp))
            book_.heard(question.from.vm, question.view_digest,
                question.read_age, *said_after);
    }

    bool monitors(time_point now) const
    {
        return phase_ == control_phase::serving &&
            now - last_heartbeat_ < watcher_memory;
    }

    void watch_vms(time_point now)
    {
        if (!monitors(now) && !is_watcher()) {
            monitoring_ = false;
            return monitor_.clear();
        }
        auto const* const view = view_.find(self_.data_centre);
        if (view == nullptr)
            return;
        // A first look after a pause must not take the pause for silence.
        if (!std::exchange(monitoring_, true) ||
            now - last_watch_tick_ > watcher_patience)
            monitor_.clear();
        last_watch_tick_ = now;
        monitor_.follow(*view, now);
        monitor_.heard(self_.vm, self_.incarnation, now);
        auto const wants = monitor_.tick(now);
        for (auto const& it : wants.ask_others)
            ask_others(it);
        for (auto const& it : wants.remove)
            remove_vm(it);
    }

    /// Asks two others, one of them elsewhere if possible, whether they
    /// reach the VM.
    void ask_others(vm_record const& suspected)
    {
        log(log_event::vm_suspected, {{"vm", suspected.vm.text()}});
        auto others = view_.vms();
        std::erase_if(others, [&](auto const& it) {
            return it.vm == self_.vm || it.vm == suspected.vm;
        });
        std::stable_partition(
            others.begin(), others.end(), [&](auto const& it) {
                return it.data_centre != self_.data_centre;
            });
        auto const vouch = [this, vm = suspected.vm] {
            monitor_.vouched(vm, environment_.now());
        };
        ask_one(self_, suspected, vouch);
        if (!others.empty())
            ask_one(others.front(), suspected, vouch);
        if (others.size() > 1)
            ask_one(others.back(), suspected, vouch);
    }

    void remove_vm(vm_record const& lost)
    {
        // A VM that is cut off itself must not judge others.
        if (writing_ || lost.vm == self_.vm ||
            !freshness_.may_act(environment_.now()))
            return;
        auto const held = own_view();
        auto const next = without_vm(held, lost);
        if (next.epoch != held.epoch)
            write_view(next);
    }

    void refresh_own_summary(time_point now)
    {
        bool const counts =
            is_watcher() || now - last_heartbeat_ < watcher_memory;
        if (!counts)
            return;
        book_.heard(self_.vm, view_.digest(), read_age(now), now);
        evidence_.put(
            self_.data_centre, book_.summarise(view_.digest(), now), now);
    }

    // The whole.

    void tick()
    {
        auto const now = environment_.now();
        follow_store();
        refresh_own_summary(now);
        freshness_.hold(
            evidence_.majority_hold(view_.size(), view_.digest(), now),
            view_.digest(), now);
        renew_lease();
        configuration_.tick(now);
        bool const confirmed = owners_.confirm(
            [&](std::size_t count) {
                return evidence_.read_age_of(count, now);
            },
            now);
        owners_.expire(now);
        advance_phase(now);
        if (phase_ == control_phase::serving)
            watch_vms(now);
        // Traffic threads decide by copies of the waiting times.
        if (confirmed)
            publish();
        targets_.follow(*policy_,
            freshness_.may_act(now) && phase_ == control_phase::serving);
        targets_.tick(*policy_);
    }

    void advance_phase(time_point now)
    {
        switch (phase_) {
        case control_phase::observing:
            // Who joins after a lease knows all owners that may still act.
            if (policy_->ready && now - observing_since_ > observing_time)
                phase_ = control_phase::joining;
            return;
        case control_phase::joining:
        case control_phase::left:
            return write_own_record();
        case control_phase::leaving:
            if (released_ && left_ != nullptr)
                write_own_record();
            return;
        case control_phase::serving:
            return;
        }
    }

    void publish()
    {
        auto next = std::make_shared<policy>(policy{current_index(), owners_,
            configuration_.ready(),
            phase_ == control_phase::leaving || phase_ == control_phase::left,
            ++sequence_});
        policy_ = next;
        auto joined = std::exchange(joined_, {});
        environment_.publish(
            next,
            [this, joined = std::move(joined), epochs = known_epochs()](
                organisation_hand_over taken) {
                if (phase_ == control_phase::leaving)
                    released_ = true;
                hand_over(joined, epochs, std::move(taken));
            },
            [this, epochs = known_epochs()] { release_targets(epochs); });
    }

    std::shared_ptr<configuration_index const> current_index()
    {
        bool const same = policy_ != nullptr &&
            policy_->index->version == configuration_.version();
        if (same)
            return policy_->index;
        if (configuration_.version() > 0)
            log(log_event::configuration_applied,
                {{"version", configuration_.version()}});
        auto next = std::make_shared<configuration_index>(
            configuration_.current(), configuration_.version());
        if (policy_ != nullptr)
            next->note_divided_anew(*policy_->index, environment_.now());
        return next;
    }

    bool is_shown_as_leaving() const
    {
        auto const* const record = view_.find(self_.vm);
        return record == nullptr || record->standing == vm_standing::leaving;
    }

    /// Tells VMs that joined, and new owners, what this VM gave up.
    void hand_over(std::vector<vm_record> const& joined,
        std::vector<view_epoch> const& epochs, organisation_hand_over taken)
    {
        // Until the view shows that this VM leaves, it is an owner itself.
        given_up_.shares.insert(
            given_up_.shares.end(), taken.shares.begin(), taken.shares.end());
        given_up_.records.insert(given_up_.records.end(), taken.records.begin(),
            taken.records.end());
        if (phase_ == control_phase::leaving && !is_shown_as_leaving())
            return;
        taken = std::exchange(given_up_, {});
        std::map<vm_id, release_notice> notices;
        for (auto const& it : joined)
            notices[it.vm];
        for (auto const& it : taken.shares)
            if (auto const* const to = next_holder(it.organisation))
                notices[to->vm].shares.push_back(it);
        for (auto& it : taken.records)
            for (auto const* to : owners_.owners(records_key(it.organisation)))
                if (to->vm != self_.vm)
                    notices[to->vm].records.push_back(it);
        for (auto& [vm, notice] : notices) {
            notice.from = self_.vm;
            notice.id = environment_.random();
            notice.epochs = epochs;
            if (auto const* const record = view_.find(vm))
                environment_.send_release(*record, notice);
        }
    }

    /// Tells the VMs of this data centre that no request runs any more at a
    /// target that this VM has lost.
    void release_targets(std::vector<view_epoch> const& epochs)
    {
        if (epochs == released_targets_)
            return;
        released_targets_ = epochs;
        release_notice notice;
        notice.from = self_.vm;
        notice.epochs = epochs;
        notice.what = released_keys::targets;
        for (auto const& it : own_view().vms) {
            notice.id = environment_.random();
            if (it.vm != self_.vm)
                environment_.send_release(it, notice);
        }
    }

    /// Who gets the tokens of a share that this VM gave up: the last owner
    /// in rank, which is the one that came in for it.
    vm_record const* next_holder(organisation_id const& organisation) const
    {
        auto const* const rate =
            configuration_.current().template find<rate_object>(
                organisation.text());
        if (rate == nullptr)
            return nullptr;
        auto const owners = owners_.owners(shares_key(organisation, *rate));
        return owners.empty() ? nullptr : owners.back();
    }

    Environment& environment_;
    timer_service& timers_;
    vm_record self_;
    std::vector<std::string> seeds_;
    control_phase phase_ = control_phase::observing;
    time_point observing_since_{};

    configuration_follower configuration_;
    fleet_view view_;
    ownership owners_;
    freshness freshness_;
    vm_monitor monitor_;
    evidence_book book_;
    fleet_evidence evidence_;
    target_control<Environment> targets_;
    reply_stamps stamps_;

    policy_pointer policy_;
    std::uint64_t sequence_ = 0;
    bool released_ = false;
    std::vector<vm_record> joined_;
    /// What was given up and is not handed over yet.
    organisation_hand_over given_up_;
    std::vector<view_epoch> released_targets_;
    /// Notices are rare, at most one for each VM that leaves or loses keys.
    std::set<std::uint64_t> taken_notices_;

    std::uint64_t revision_ = 0;
    bool watching_ = false;
    bool store_reached_ = true;
    time_point next_watch_{};
    bool writing_ = false;
    /// A write was refused, so the view held is not the newest.
    bool catch_up_ = false;
    time_point next_write_{};

    std::size_t failed_syncs_ = 0;
    std::map<std::string, std::uint64_t> last_stamps_;
    time_point last_heartbeat_{};
    time_point last_exchange_{};
    time_point last_learned_{};
    std::map<data_centre_id, time_point> exchanged_at_;
    std::map<data_centre_id, timer_service::subscription> judgement_timers_;
    bool monitoring_ = false;
    time_point last_watch_tick_{};

    std::function<void()> left_;
    std::function<void()> removed_;
    timer_service::subscription tick_timer_;
    timer_service::subscription report_timer_;
    timer_service::subscription heartbeat_timer_;
};

} // namespace pomelohinge

#endif
