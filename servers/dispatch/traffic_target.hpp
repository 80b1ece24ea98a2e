#ifndef POMELOHINGE_SERVERS_DISPATCH_TRAFFIC_TARGET_HPP
#define POMELOHINGE_SERVERS_DISPATCH_TRAFFIC_TARGET_HPP

#include "servers/health/target_health.hpp"
#include "servers/limits/token_bucket.hpp"
#include "servers/targets/target_catalogue.hpp"

#include <optional>

namespace pomelohinge {

/// What one traffic thread keeps of one target.
class traffic_target
{
public:
    traffic_target(target_record record, chart<target_chart> const& rules)
        : record_(std::move(record)), health_(rules)
    {
    }

    target_record const& record() const { return record_; }
    target_health& health() { return health_; }
    target_health const& health() const { return health_; }

    /// Takes a later record of the same start.
    void set_record(target_record record);

    /// Whether the target may get new work at all.
    bool open() const { return open_ && !replaced_; }
    void set_open(bool open) { open_ = open; }

    /// Another target answers at its address: this one is gone, though the
    /// list does not say so yet.
    void set_replaced() { replaced_ = true; }

    bool is_cold(time_point now) const { return now < record_.cold_until; }

    /// Sets how many requests a second this thread may send while the target
    /// is cold; nothing for no bound.
    void set_cold_rate(std::optional<double> rate, time_point now);

    /// Whether another request may be sent now, given its slots and, while
    /// it is cold, its rate.
    bool has_room(time_point now);

    /// Work for each slot if one more request were sent; 1 is full.
    double load_with_one_more(time_point now) const;

    void began(time_point now);
    void ended() { --in_flight_; }
    std::int64_t in_flight() const { return in_flight_; }

    /// Requests under way from elsewhere, as last heard.
    void set_others(std::int64_t in_flight, time_point now);
    std::int64_t others() const { return others_; }

    /// When a request last began here, or was heard of. What is under way
    /// without change says nothing: it may hang, or its VM may be gone.
    time_point used_at() const;

    /// Requests under way from here that take unusually long.
    void became_late() { ++late_; }
    void late_ended() { --late_; }
    std::int64_t late() const { return late_; }

    /// What is told of it in the next report.
    target_report& news() { return news_; }
    target_report take_report();

private:
    target_record record_;
    target_health health_;
    bool open_ = true;
    bool replaced_ = false;
    std::int64_t in_flight_ = 0;
    std::int64_t others_ = 0;
    std::int64_t late_ = 0;
    time_point began_at_{};
    time_point others_changed_at_{};
    std::optional<token_bucket> cold_pace_;
    target_report news_;
};

} // namespace pomelohinge

#endif
