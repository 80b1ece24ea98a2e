#ifndef POMELOHINGE_SERVERS_CONTROL_STORE_READER_HPP
#define POMELOHINGE_SERVERS_CONTROL_STORE_READER_HPP

#include "core/log.hpp"
#include "core/timer_service.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/fleet_knowledge.hpp"

#include <array>

namespace pomelohinge {

/// Follows the store for the VMs of a data centre: reads the configuration
/// again and again, since only a read proves that it is in force, and
/// watches for changes, so that they are known at once.
template <class Environment>
class store_reader
{
public:
    /// `on_change` is called whenever the knowledge has changed.
    store_reader(Environment& environment, timer_service& timers,
        fleet_knowledge& knowledge, std::function<void()> on_change)
        : environment_(environment), timers_(timers), knowledge_(knowledge),
          on_change_(std::move(on_change))
    {
    }

    /// Starts or stops following.
    void set_active(bool active)
    {
        if (std::exchange(active_, active) == active || !active)
            return;
        read_configuration();
        follow_targets();
        follow_closures();
    }

    bool active() const { return active_; }

    /// Whether the last read was answered.
    bool reached() const { return reached_; }

private:
    /// Half of what freshness may need at the strictest: a read and the
    /// way to every VM fit twice into the time for which a read counts.
    static constexpr duration read_period = std::chrono::milliseconds(900);
    /// How long the store may hold a watch; a watch over a connection that
    /// has gone silent is noticed after it.
    static constexpr duration watch_wait = std::chrono::seconds(8);
    /// Changes that come close together are fetched by one watch.
    static constexpr duration gather_time = std::chrono::milliseconds(150);
    /// Shortest wait after a failed call; it doubles up to the longest.
    static constexpr duration shortest_retry = std::chrono::milliseconds(250);
    static constexpr duration longest_retry = std::chrono::milliseconds(1500);

    struct topic_state
    {
        bool under_way = false;
        std::uint64_t revision = 0;
        duration retry = shortest_retry;
        timer_service::subscription timer;
    };

    topic_state& state(store_topic topic) { return topics_[index_of(topic)]; }

    template <class Work>
    void later(topic_state& it, duration wait, Work work)
    {
        it.timer = timers_.once(environment_.now(), wait, std::move(work));
    }

    /// Draws the wait after a failure, so that VMs do not come back to the
    /// store all at once.
    duration next_retry(topic_state& it)
    {
        auto const wait = it.retry;
        it.retry = std::min(it.retry * 2, longest_retry);
        auto const spread = static_cast<std::uint64_t>(wait.count());
        return wait +
            duration(
                static_cast<duration::rep>(environment_.random() % spread));
    }

    void note_reached(bool reached, store_status status)
    {
        if (std::exchange(reached_, reached) == reached)
            return;
        if (reached)
            log(log_event::store_reached);
        else
            log(log_event::store_unreachable, {{"status", to_name(status)}});
    }

    // The configuration.

    void read_configuration()
    {
        if (!active_ || reading_)
            return;
        reading_ = true;
        environment_.read_configuration([this, asked_at = environment_.now()](
                                            configuration_reading reading) {
            reading_ = false;
            configuration_read(std::move(reading), asked_at);
        });
    }

    void configuration_read(configuration_reading reading, time_point asked_at)
    {
        auto& it = state(store_topic::configuration);
        bool const done = reading.status == store_status::done;
        note_reached(done, reading.status);
        if (!done) {
            read_timer_ = timers_.once(environment_.now(), next_retry(it),
                [this] { read_configuration(); });
            return;
        }
        it.retry = shortest_retry;
        it.revision = std::max(it.revision, reading.revision);
        take_document(std::move(reading.document), asked_at);
        read_timer_ = timers_.once(
            environment_.now(), read_period, [this] { read_configuration(); });
        watch_configuration();
    }

    void take_document(configuration_document document, time_point read_at)
    {
        auto const version = document.version;
        bool const news = knowledge_.lacks_configuration(version);
        if (news)
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

    void watch_configuration()
    {
        watch(store_topic::configuration, [this] { read_configuration(); });
    }

    // A watch that only says that something changed.

    template <class Changed>
    void watch(store_topic topic, Changed changed)
    {
        auto& it = state(topic);
        if (!active_ || it.under_way)
            return;
        it.under_way = true;
        environment_.watch(topic, it.revision, watch_wait,
            [this, topic, changed](
                watch_reading reading) { watched(topic, reading, changed); });
    }

    template <class Changed>
    void watched(
        store_topic topic, watch_reading const& reading, Changed const& changed)
    {
        auto& it = state(topic);
        it.under_way = false;
        switch (reading.status) {
        case store_status::done:
            it.revision = std::max(it.revision, reading.revision);
            if (reading.changed)
                return changed();
            return watch(topic, changed);
        case store_status::history_gone:
            return changed();
        case store_status::conflict:
        case store_status::unavailable:
            return later(it, next_retry(it), changed);
        }
    }

    // Targets.

    void follow_targets()
    {
        auto& it = state(store_topic::targets);
        if (!active_ || it.under_way)
            return;
        it.under_way = true;
        environment_.list_targets([this](targets_reading reading) {
            state(store_topic::targets).under_way = false;
            targets_listed(std::move(reading));
        });
    }

    void targets_listed(targets_reading reading)
    {
        auto& it = state(store_topic::targets);
        if (reading.status != store_status::done)
            return later(it, next_retry(it), [this] { follow_targets(); });
        it.retry = shortest_retry;
        take_targets(std::move(reading.changes));
        watch_targets();
    }

    void take_targets(target_changes changes)
    {
        auto& it = state(store_topic::targets);
        it.revision = std::max(it.revision, changes.revision);
        auto const n = changes.put.size();
        auto const removed = changes.removed.size();
        if (!knowledge_.take_targets(std::move(changes)))
            return;
        log(log_event::targets_changed,
            {{"revision", it.revision}, {"put", n}, {"removed", removed},
                {"targets", knowledge_.targets().size()}});
        on_change_();
    }

    void watch_targets()
    {
        auto& it = state(store_topic::targets);
        if (!active_ || it.under_way)
            return;
        it.under_way = true;
        environment_.watch_targets(
            it.revision, watch_wait, [this](targets_reading reading) {
                targets_watched(std::move(reading));
            });
    }

    void targets_watched(targets_reading reading)
    {
        auto& it = state(store_topic::targets);
        it.under_way = false;
        if (reading.status == store_status::history_gone)
            return follow_targets();
        if (reading.status != store_status::done)
            return later(it, next_retry(it), [this] { follow_targets(); });
        bool const changed =
            !reading.changes.put.empty() || !reading.changes.removed.empty();
        take_targets(std::move(reading.changes));
        if (changed)
            return later(it, gather_time, [this] { watch_targets(); });
        watch_targets();
    }

    // Data centres that were taken out.

    void follow_closures()
    {
        auto& it = state(store_topic::closures);
        if (!active_ || it.under_way)
            return;
        it.under_way = true;
        environment_.list_closures([this](closures_reading reading) {
            auto& it = state(store_topic::closures);
            it.under_way = false;
            if (reading.status != store_status::done)
                return later(it, next_retry(it), [this] { follow_closures(); });
            it.retry = shortest_retry;
            it.revision = std::max(it.revision, reading.closures.revision);
            if (knowledge_.take_closures(std::move(reading.closures))) {
                log(log_event::closures_changed,
                    {{"revision", it.revision},
                        {"closed", knowledge_.closures().closed.size()}});
                on_change_();
            }
            watch(store_topic::closures, [this] { follow_closures(); });
        });
    }

    Environment& environment_;
    timer_service& timers_;
    fleet_knowledge& knowledge_;
    std::function<void()> on_change_;
    bool active_ = false;
    bool reached_ = true;
    bool reading_ = false;
    timer_service::subscription read_timer_;
    std::array<topic_state, enum_count<store_topic>> topics_;
};

} // namespace pomelohinge

#endif
