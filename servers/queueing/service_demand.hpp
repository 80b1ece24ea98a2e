#ifndef POMELOHINGE_SERVERS_QUEUEING_SERVICE_DEMAND_HPP
#define POMELOHINGE_SERVERS_QUEUEING_SERVICE_DEMAND_HPP

#include "core/identifiers.hpp"
#include "servers/limits/rate_meter.hpp"
#include "servers/queueing/holding_times.hpp"

#include <cstdint>
#include <map>

namespace pomelohinge {

/// What one traffic thread measures of the load of one service: arrivals and
/// holding times per kind of request (route and priority), and the attempts
/// that end here and elsewhere.
class service_demand
{
public:
    void add_arrival(route_id const& route, std::int64_t priority,
        bool retryable, time_point now);

    /// Records that an attempt of the route was answered.
    void add_holding_time(route_id const& route, duration held);

    /// Records the end of an attempt at a trusted target from here.
    void add_trusted_end(time_point now) { trusted_ends_.add(now); }

    /// Records the attempts at the service that others report as ended since
    /// the last report.
    void add_report(double ends, time_point now)
    {
        ends_elsewhere_.add(now, ends);
    }

    /// Holding times of a route; those of the service's other routes until
    /// there are any.
    holding_times const& holding(route_id const& route) const;

    /// Mean time for which the attempts of this service hold a slot.
    duration mean_holding() const { return mean_holding_; }

    /// Attempts per second that other VMs and threads start.
    double starts_elsewhere(time_point now) const
    {
        return ends_elsewhere_.per_second(now);
    }

    /// Attempts of this thread at trusted targets that end per second.
    double trusted_ends(time_point now) const
    {
        return trusted_ends_.per_second(now);
    }

    /// Arrivals per second here of requests more urgent than `priority`.
    double more_urgent_arrivals(std::int64_t priority, time_point now) const;

    /// Slots that this thread's requests more urgent than `priority` hold on
    /// average: arrivals times holding time.
    double more_urgent_slots(std::int64_t priority, time_point now) const;

    /// Whether a kind that is retryable and holds slots for much longer than
    /// `route` has arrived recently. It loses less of its time by a failed
    /// attempt.
    bool has_longer_retryable(route_id const& route, time_point now) const;

    /// Whether requests of several priorities have arrived recently, and none
    /// more urgent than `priority`.
    bool is_most_urgent(std::int64_t priority, time_point now) const;

    /// Whether requests that may be repeated have arrived recently.
    bool has_retryable(time_point now) const;

private:
    /// One VM of many gets only a few requests of a kind in a second.
    static constexpr duration arrival_averaging = std::chrono::seconds(3);

    struct kind
    {
        std::int64_t priority = 0;
        rate_meter arrivals{arrival_averaging};
        holding_times holding;
        time_point last_arrival_at{};
        time_point last_retryable_at{};
    };

    std::map<route_id, kind> kinds_;
    holding_times all_;
    duration mean_holding_{};
    rate_meter trusted_ends_{arrival_averaging};
    rate_meter ends_elsewhere_{arrival_averaging};
};

} // namespace pomelohinge

#endif
