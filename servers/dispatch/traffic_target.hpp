#ifndef POMELOHINGE_SERVERS_DISPATCH_TRAFFIC_TARGET_HPP
#define POMELOHINGE_SERVERS_DISPATCH_TRAFFIC_TARGET_HPP

#include "servers/health/path_health.hpp"
#include "servers/health/target_charts.hpp"
#include "servers/health/target_health.hpp"
#include "servers/health/target_pause.hpp"
#include "servers/health/target_replacement.hpp"
#include "servers/limits/token_bucket.hpp"
#include "servers/targets/target_catalogue.hpp"

#include <optional>
#include <utility>

namespace pomelohinge {

/// The state of one target on one traffic thread: its record, health and load.
class traffic_target
{
public:
    traffic_target(target_record record, target_charts const& charts)
        : record_(std::move(record)), health_(charts.health),
          path_(charts.path), pause_(charts.pause),
          replacement_(charts.replacement)
    {
    }

    target_record const& record() const { return record_; }
    target_health& health() { return health_; }
    target_health const& health() const { return health_; }
    path_health& path() { return path_; }
    path_health const& path() const { return path_; }
    target_pause& pause() { return pause_; }
    target_pause const& pause() const { return pause_; }
    target_replacement& replacement() { return replacement_; }
    target_replacement const& replacement() const { return replacement_; }

    /// Replaces the record by a later one of the same incarnation.
    void set_record(target_record record);

    /// Whether the target may get new requests.
    bool accepts_requests() const
    {
        return accepts_requests_ && !leaving_ &&
            replacement_.state() != replacement_state::replaced;
    }
    void set_accepts_requests(bool it) { accepts_requests_ = it; }

    /// Marks the target as shutting down, as its answers say. This holds for
    /// its incarnation, whatever the list of targets says.
    void set_leaving() { leaving_ = true; }
    bool is_leaving() const { return leaving_; }

    /// Whether this is the first notice of the target that cannot be read.
    bool is_first_unreadable_notice()
    {
        return !std::exchange(has_unreadable_notice_, true);
    }

    bool is_cold(time_point now) const { return now < record_.cold_until; }

    /// Sets how many requests per second this thread may send while the
    /// target is cold; `nullopt` for no limit.
    void set_cold_rate(std::optional<double> rate, time_point now);

    /// Whether the target has a free slot and, while it is cold, a token is
    /// left of the rate set by `set_cold_rate`.
    bool has_capacity(time_point now);

    /// Requests per slot if one more were sent; 1 is full. The load of a cold
    /// target is multiplied, since it works more slowly.
    double load_with_one_more(time_point now) const;

    /// Records the start and the end of an attempt at the target.
    void request_started(time_point now);
    void request_ended() { --in_flight_; }
    std::int64_t in_flight() const { return in_flight_; }
    time_point last_started_at() const { return last_started_at_; }

    /// Requests in flight from other VMs and threads, as last reported.
    void set_in_flight_elsewhere(std::int64_t it) { in_flight_elsewhere_ = it; }
    std::int64_t in_flight_elsewhere() const { return in_flight_elsewhere_; }

    /// Requests in flight from here, as the others know from the last report.
    std::int64_t reported_in_flight() const { return reported_in_flight_; }

    /// Records that a request from here, sent at `sent_at`, has reached the
    /// target.
    void record_reached(time_point sent_at, time_point now);

    /// Time at which the last request reached the target, as far as known.
    time_point last_reached_at() const { return last_reached_at_; }

    /// Records the observations of other VMs and threads. Their silences are
    /// ignored while this thread or another VM gets answers.
    void record_report(
        target_report report, service_baseline const& service, time_point now);

    /// Whether a request reached the target within `window`, or one from here
    /// is on its way. Requests in flight from elsewhere do not count, since
    /// they may hang or their VM may be gone.
    bool is_in_use(duration window, time_point now) const;

    /// Requests in flight from here that take much longer than the median.
    void add_late_attempt() { ++late_attempts_; }
    void remove_late_attempt() { --late_attempts_; }
    std::int64_t late_attempts() const { return late_attempts_; }

    /// Observations for the next report.
    target_report& pending_report() { return pending_report_; }

    /// Returns the pending report with the current number of requests in flight
    /// from here, and clears it. Requests on a path that may be cut do not
    /// occupy the target, so they are not reported.
    target_report take_report();

private:
    target_record record_;
    target_health health_;
    path_health path_;
    target_pause pause_;
    target_replacement replacement_;
    bool accepts_requests_ = true;
    bool leaving_ = false;
    bool has_unreadable_notice_ = false;
    std::int64_t in_flight_ = 0;
    std::int64_t in_flight_elsewhere_ = 0;
    std::int64_t reported_in_flight_ = 0;
    std::int64_t late_attempts_ = 0;
    time_point last_started_at_{};
    time_point last_reached_at_{};
    std::optional<token_bucket> cold_bucket_;
    target_report pending_report_;
};

} // namespace pomelohinge

#endif
