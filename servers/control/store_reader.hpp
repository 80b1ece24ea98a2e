#ifndef POMELOHINGE_SERVERS_CONTROL_STORE_READER_HPP
#define POMELOHINGE_SERVERS_CONTROL_STORE_READER_HPP

#include "core/log.hpp"
#include "core/timer_service.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/fleet_state.hpp"
#include "servers/control/store_turns.hpp"

#include <algorithm>

namespace pomelohinge {

/// Reads the store for this VM and those that use it as their hub. The
/// configuration and the closed data centres are polled, since only a read
/// proves what is in force. Targets are watched for changes and also listed
/// periodically, in case the watch misses changes.
template <class Environment>
class store_reader
{
public:
    /// `on_change` is called after each read of the configuration, whether it
    /// succeeded or not, and after each change of the targets or closures.
    store_reader(Environment& environment, timer_service& timers,
        fleet_state& state, std::function<void()> on_change)
        : environment_(environment), timers_(timers), fleet_state_(state),
          on_change_(std::move(on_change))
    {
    }

    /// From now on the orders of rollouts are read as well. `on_rollouts` gets
    /// each list and the time at which it was requested.
    void follow_rollouts(
        std::function<void(rollout_list const&, time_point)> on_rollouts)
    {
        on_rollouts_ = std::move(on_rollouts);
    }

    /// Reads the orders of rollouts now, if this VM reads the store.
    void list_rollouts()
    {
        if (on_rollouts_ == nullptr || !begin(rollouts_))
            return;
        environment_.list_rollouts([this, requested_at = environment_.now()](
                                       rollouts_result const& result) {
            if (!end(rollouts_, result.status))
                return;
            schedule(rollouts_, rollouts_period, [this] { list_rollouts(); });
            on_rollouts_(result.rollouts, requested_at);
        });
    }

    /// Starts or stops reading. Calls in flight are completed.
    void set_active(bool active)
    {
        if (std::exchange(active_, active) == active)
            return;
        log(log_event::store_reading, {{"active", active ? 1 : 0}});
        if (!active)
            return;
        configuration_.retry_delay = min_retry_delay;
        outcome_ = read_outcome::pending;
        lists_due_ = true;
        read_configuration();
    }

    bool active() const { return active_; }

    /// Whether the last call to the store succeeded.
    bool reached() const { return reached_; }

    /// The result of the last call since this reader became active.
    read_outcome outcome() const { return outcome_; }

private:
    /// A change must reach all VMs within two seconds, of which up to half a
    /// second passes between the read and the last VM.
    static constexpr duration configuration_period =
        std::chrono::milliseconds(800);
    static constexpr duration closures_period = std::chrono::milliseconds(2000);
    static constexpr duration rollouts_period = std::chrono::milliseconds(1000);
    /// Upper bound of the long poll of a watch, which also ends when the next
    /// list of targets is due. A dead connection is detected after this time.
    static constexpr duration max_watch_timeout =
        std::chrono::milliseconds(2000);
    /// Delay between two watches, so that one watch returns several changes
    /// that are made shortly after each other.
    static constexpr duration batching_delay = std::chrono::milliseconds(150);
    /// Period between lists of the targets, multiplied by the number of pages
    /// in the list. A change that a watch missed thus reaches all VMs within
    /// three seconds, before a VM that was cut off counts as connected again.
    static constexpr duration list_period = std::chrono::milliseconds(2400);
    static constexpr std::size_t targets_per_page = 500;
    /// Delay after a failed call. It doubles up to the maximum.
    static constexpr duration min_retry_delay = std::chrono::milliseconds(250);
    static constexpr duration max_retry_delay = std::chrono::milliseconds(1000);

    /// State of the calls of one kind.
    struct call_state
    {
        bool in_flight = false;
        duration retry_delay = min_retry_delay;
        timer_service::subscription timer;
    };

    /// Begins a call unless one is in flight or the reader is inactive. Returns
    /// whether it began.
    bool begin(call_state& it)
    {
        if (!active_ || it.in_flight)
            return false;
        it.in_flight = true;
        return true;
    }

    /// Ends a call. Returns whether it succeeded. An unreachable store is
    /// retried only by reads of the configuration; the other calls resume once
    /// a call succeeds.
    bool end(call_state& it, store_status status)
    {
        it.in_flight = false;
        bool const done = status == store_status::done;
        set_reached(done, status);
        if (!done)
            return false;
        it.retry_delay = min_retry_delay;
        // A list that fails while other calls succeed is repeated at the pace
        // of the configuration, not by each of their answers.
        bool const may_list = &it == &configuration_ || is_new_era_;
        if (may_list && lists_due_)
            list_all();
        return true;
    }

    /// Reads the configuration again after a delay with random jitter, so that
    /// VMs do not all call a recovered store at the same time.
    void retry_configuration()
    {
        auto& it = configuration_;
        auto const jitter_range =
            static_cast<std::uint64_t>(it.retry_delay.count());
        auto const delay = it.retry_delay / 2 +
            duration(static_cast<duration::rep>(
                environment_.random() % jitter_range));
        it.retry_delay = std::min(it.retry_delay * 2, max_retry_delay);
        schedule(it, delay, [this] { read_configuration(); });
    }

    template <class Work>
    void schedule(call_state& it, duration delay, Work work)
    {
        it.timer = timers_.once(environment_.now(), delay, std::move(work));
    }

    void set_reached(bool reached, store_status status)
    {
        outcome_ = reached ? read_outcome::succeeded : read_outcome::failed;
        if (std::exchange(reached_, reached) != reached) {
            if (reached)
                log(log_event::store_reached);
            else
                log(log_event::store_unreachable,
                    {{"status", to_name(status)}});
        }
        // A call to a store that does not answer is not made three times over.
        lists_due_ |= !reached;
    }

    void list_all()
    {
        lists_due_ = is_new_era_ = false;
        list_targets();
        list_closures();
        list_rollouts();
    }

    /// Lists everything again if the answer is the first one of a new era.
    bool note_era(store_status status, std::uint64_t number)
    {
        bool const is_new = status == store_status::done &&
            eras_.note(number, fleet_state_.era(), environment_.now());
        if (!is_new)
            return false;
        log(log_event::store_era_changed, {{"era", number}});
        // A watch in flight ends with a list.
        next_list_ = environment_.now();
        lists_due_ = is_new_era_ = true;
        return true;
    }

    // The configuration.

    void read_configuration()
    {
        if (!begin(configuration_))
            return;
        environment_.read_configuration(
            [this, requested_at = environment_.now()](
                configuration_result result) {
                note_era(result.status, result.era);
                if (!end(configuration_, result.status)) {
                    retry_configuration();
                    return on_change_();
                }
                schedule(configuration_, configuration_period,
                    [this] { read_configuration(); });
                apply_document(std::move(result.document), requested_at);
            });
    }

    void apply_document(configuration_document document, time_point read_at)
    {
        auto const version = document.version;
        if (fleet_state_.lacks_configuration(version))
            decode_document(std::move(document));
        fleet_state_.confirm(version, read_at);
        on_change_();
    }

    void decode_document(configuration_document document)
    {
        // A document is reported once, not at each read.
        bool const was_refused = refused_.text != nullptr &&
            refused_.version == document.version &&
            *refused_.text == *document.text;
        if (was_refused)
            return;
        findings found("configuration");
        auto decoded = environment_.decode_configuration(*document.text, found);
        if (!decoded) {
            log(log_event::configuration_unreadable,
                {{"version", document.version}, {"findings", found.to_text()}});
            refused_ = std::move(document);
            return;
        }
        refused_ = {};
        log(log_event::configuration_applied,
            {{"version", document.version}, {"source", "store"}});
        fleet_state_.set_configuration(std::move(document), *decoded);
    }

    // Targets.

    void list_targets()
    {
        if (!begin(targets_))
            return;
        auto const requested_at = environment_.now();
        environment_.list_targets([this, requested_at](targets_result result) {
            if (!end(targets_, result.status))
                return;
            note_era(result.status, result.era);
            auto const pages = 1 + result.changes.put.size() / targets_per_page;
            next_list_ = environment_.now() +
                list_period * static_cast<duration::rep>(pages);
            if (requested_at < eras_.settles_at())
                next_list_ = std::min(next_list_, eras_.settles_at());
            result.changes.era = eras_.era_of(result.era, requested_at);
            bool const is_old = result.era < fleet_state_.era().number;
            apply_targets(std::move(result.changes));
            // Another VM reads a later era, whose revisions mean nothing here.
            if (is_old)
                return schedule(
                    targets_, list_period, [this] { list_targets(); });
            watch_targets();
        });
    }

    void apply_targets(target_changes changes)
    {
        auto const revision = changes.revision;
        auto const n = changes.put.size();
        auto const removed = changes.removed.size();
        bool const whole = changes.whole;
        if (!fleet_state_.apply_targets(std::move(changes)))
            return;
        log(log_event::targets_changed,
            {{"revision", revision}, {"whole", whole ? 1 : 0}, {"put", n},
                {"removed", removed},
                {"targets", fleet_state_.targets().size()}});
        on_change_();
    }

    void watch_targets()
    {
        if (environment_.now() >= next_list_)
            return list_targets();
        if (!begin(targets_))
            return;
        auto const timeout = std::min<duration>(
            max_watch_timeout, next_list_ - environment_.now());
        environment_.watch_targets(fleet_state_.targets().revision(), timeout,
            [this](targets_result result) {
                handle_watch_result(std::move(result));
            });
    }

    void handle_watch_result(targets_result result)
    {
        if (result.status == store_status::history_gone) {
            targets_.in_flight = false;
            return list_targets();
        }
        if (!end(targets_, result.status))
            return;
        // Changes since a revision of another era say nothing of the rest.
        if (note_era(result.status, result.era) ||
            result.era > fleet_state_.era().number)
            return list_targets();
        bool const changed =
            !result.changes.put.empty() || !result.changes.removed.empty();
        result.changes.era = fleet_state_.era();
        if (result.era == fleet_state_.era().number)
            apply_targets(std::move(result.changes));
        if (changed)
            return schedule(
                targets_, batching_delay, [this] { watch_targets(); });
        watch_targets();
    }

    // Closed data centres.

    void list_closures()
    {
        if (!begin(closures_))
            return;
        auto const requested_at = environment_.now();
        environment_.list_closures(
            [this, requested_at](closures_result result) {
                if (!end(closures_, result.status))
                    return;
                note_era(result.status, result.era);
                auto delay = closures_period;
                if (requested_at < eras_.settles_at())
                    delay = std::min(delay, eras_.settles_at() - requested_at);
                schedule(closures_, delay, [this] { list_closures(); });
                result.closures.era = eras_.era_of(result.era, requested_at);
                auto const revision = result.closures.revision;
                if (!fleet_state_.apply_closures(std::move(result.closures)))
                    return;
                log(log_event::closures_changed,
                    {{"revision", revision},
                        {"closed", fleet_state_.closures().closed.size()}});
                on_change_();
            });
    }

    Environment& environment_;
    timer_service& timers_;
    fleet_state& fleet_state_;
    std::function<void()> on_change_;
    bool active_ = false;
    bool reached_ = true;
    read_outcome outcome_ = read_outcome::pending;
    /// Targets and closed data centres are listed when a call succeeds.
    bool lists_due_ = false;
    bool is_new_era_ = false;
    /// The last configuration that could not be decoded.
    configuration_document refused_;
    call_state configuration_;
    call_state targets_;
    call_state closures_;
    call_state rollouts_;
    std::function<void(rollout_list const&, time_point)> on_rollouts_;
    era_tracker eras_;
    /// When the next list of targets is due.
    time_point next_list_{};
};

} // namespace pomelohinge

#endif
