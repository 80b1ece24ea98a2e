#ifndef POMELOHINGE_SERVERS_CONTROL_STORE_READER_HPP
#define POMELOHINGE_SERVERS_CONTROL_STORE_READER_HPP

#include "core/log.hpp"
#include "core/timer_service.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/fleet_state.hpp"

#include <algorithm>

namespace pomelohinge {

/// Reads the store for the VMs that ask this one: the configuration and the
/// closed data centres again and again, since only a read proves what is in
/// force, and the targets by watching for changes and, in case the store
/// tells a watch less than all, by a list now and then.
template <class Environment>
class store_reader
{
public:
    /// `on_change` is called after each read that was answered.
    store_reader(Environment& environment, timer_service& timers,
        fleet_state& knowledge, std::function<void()> on_change)
        : environment_(environment), timers_(timers), knowledge_(knowledge),
          on_change_(std::move(on_change))
    {
    }

    /// Starts or stops reading.
    void set_active(bool active)
    {
        if (std::exchange(active_, active) == active)
            return;
        log(log_event::store_reading, {{"active", active ? 1 : 0}});
        if (!active)
            return;
        configuration_.retry = shortest_retry;
        read_configuration();
        list_targets();
        list_closures();
    }

    bool active() const { return active_; }

    /// Whether the last read was answered.
    bool reached() const { return reached_; }

private:
    /// A change is to be known everywhere within two seconds, and a VM
    /// hears of it within half a second of the read.
    static constexpr duration configuration_period =
        std::chrono::milliseconds(800);
    static constexpr duration closures_period = std::chrono::milliseconds(2000);
    /// How long the store may hold a watch, which also ends when targets are
    /// to be listed again. A watch over a connection that has gone silent is
    /// noticed after it.
    static constexpr duration longest_watch = std::chrono::milliseconds(2000);
    /// Changes that come close together are fetched by one watch.
    static constexpr duration gather_time = std::chrono::milliseconds(150);
    /// Targets are listed this often, less often the more pages they fill: a
    /// change that a watch has missed is known everywhere before a VM counts
    /// as in touch again, three seconds after the miss.
    static constexpr duration list_period = std::chrono::milliseconds(2400);
    static constexpr std::size_t targets_per_page = 500;
    /// Shortest wait after a failed call; it doubles up to the longest.
    static constexpr duration shortest_retry = std::chrono::milliseconds(250);
    static constexpr duration longest_retry = std::chrono::milliseconds(1000);

    /// Calls of one kind.
    struct calls
    {
        bool under_way = false;
        duration retry = shortest_retry;
        timer_service::subscription timer;
    };

    /// Begins a call unless one is under way or nobody needs it.
    bool begin(calls& it)
    {
        if (!active_ || it.under_way)
            return false;
        it.under_way = true;
        return true;
    }

    /// Ends a call. Returns whether it was answered. An absent store is tried
    /// by reads of the configuration alone; the other calls follow once one
    /// is answered.
    bool end(calls& it, store_status status)
    {
        it.under_way = false;
        bool const done = status == store_status::done;
        note_reached(done, status);
        if (done)
            it.retry = shortest_retry;
        return done;
    }

    /// Reads the configuration again after a while, drawn so that VMs do not
    /// come back to the store all at once.
    void retry_configuration()
    {
        auto& it = configuration_;
        auto const spread = static_cast<std::uint64_t>(it.retry.count());
        auto const wait = it.retry / 2 +
            duration(
                static_cast<duration::rep>(environment_.random() % spread));
        it.retry = std::min(it.retry * 2, longest_retry);
        later(it, wait, [this] { read_configuration(); });
    }

    template <class Work>
    void later(calls& it, duration wait, Work work)
    {
        it.timer = timers_.once(environment_.now(), wait, std::move(work));
    }

    void note_reached(bool reached, store_status status)
    {
        if (std::exchange(reached_, reached) == reached)
            return;
        if (!reached) {
            log(log_event::store_unreachable, {{"status", to_name(status)}});
            return;
        }
        log(log_event::store_reached);
        list_targets();
        list_closures();
    }

    // The configuration.

    void read_configuration()
    {
        if (!begin(configuration_))
            return;
        environment_.read_configuration([this, asked_at = environment_.now()](
                                            configuration_result reading) {
            if (!end(configuration_, reading.status)) {
                retry_configuration();
                return on_change_();
            }
            later(configuration_, configuration_period,
                [this] { read_configuration(); });
            take_document(std::move(reading.document), asked_at);
        });
    }

    void take_document(configuration_document document, time_point read_at)
    {
        auto const version = document.version;
        if (knowledge_.lacks_configuration(version))
            decode(std::move(document));
        knowledge_.confirm(version, read_at);
        on_change_();
    }

    void decode(configuration_document document)
    {
        findings found("configuration");
        auto read = environment_.decode_configuration(*document.text, found);
        if (!read) {
            log(log_event::configuration_unreadable,
                {{"version", document.version}, {"findings", found.to_text()}});
            return;
        }
        log(log_event::configuration_applied,
            {{"version", document.version}, {"source", "store"}});
        knowledge_.set_configuration(std::move(document), *read);
    }

    // Targets.

    void list_targets()
    {
        if (!begin(targets_))
            return;
        environment_.list_targets([this](targets_result reading) {
            if (!end(targets_, reading.status))
                return;
            auto const pages =
                1 + reading.changes.put.size() / targets_per_page;
            next_list_ = environment_.now() +
                list_period * static_cast<duration::rep>(pages);
            take_targets(std::move(reading.changes));
            follow_targets();
        });
    }

    void take_targets(target_changes changes)
    {
        auto const revision = changes.revision;
        auto const n = changes.put.size();
        auto const removed = changes.removed.size();
        bool const whole = changes.whole;
        if (!knowledge_.take_targets(std::move(changes)))
            return;
        log(log_event::targets_changed,
            {{"revision", revision}, {"whole", whole ? 1 : 0}, {"put", n},
                {"removed", removed},
                {"targets", knowledge_.targets().size()}});
        on_change_();
    }

    void follow_targets()
    {
        if (environment_.now() >= next_list_)
            return list_targets();
        if (!begin(targets_))
            return;
        auto const wait =
            std::min<duration>(longest_watch, next_list_ - environment_.now());
        environment_.watch_targets(knowledge_.targets().revision(), wait,
            [this](targets_result reading) {
                targets_watched(std::move(reading));
            });
    }

    void targets_watched(targets_result reading)
    {
        if (reading.status == store_status::history_gone) {
            targets_.under_way = false;
            return list_targets();
        }
        if (!end(targets_, reading.status))
            return;
        bool const changed =
            !reading.changes.put.empty() || !reading.changes.removed.empty();
        take_targets(std::move(reading.changes));
        if (changed)
            return later(targets_, gather_time, [this] { follow_targets(); });
        follow_targets();
    }

    // Data centres that were taken out.

    void list_closures()
    {
        if (!begin(closures_))
            return;
        environment_.list_closures([this](closures_result reading) {
            if (!end(closures_, reading.status))
                return;
            later(closures_, closures_period, [this] { list_closures(); });
            auto const revision = reading.closures.revision;
            if (!knowledge_.take_closures(std::move(reading.closures)))
                return;
            log(log_event::closures_changed,
                {{"revision", revision},
                    {"closed", knowledge_.closures().closed.size()}});
            on_change_();
        });
    }

    Environment& environment_;
    timer_service& timers_;
    fleet_state& knowledge_;
    std::function<void()> on_change_;
    bool active_ = false;
    bool reached_ = true;
    calls configuration_;
    calls targets_;
    calls closures_;
    time_point next_list_{};
};

} // namespace pomelohinge

#endif
