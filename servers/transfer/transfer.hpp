#ifndef POMELOHINGE_SERVERS_TRANSFER_TRANSFER_HPP
#define POMELOHINGE_SERVERS_TRANSFER_TRANSFER_HPP

#include "config/transfer_settings.hpp"
#include "core/text_map.hpp"
#include "servers/limits/rate_meter.hpp"
#include "servers/transfer/transfer_plan.hpp"

#include <optional>
#include <string_view>

namespace pomelohinge {

/// A request for which a target of another data centre is considered.
struct transfer_request
{
    std::string_view service;
    std::int64_t priority = 0;
    /// Expected size of the request and its response.
    double bytes = 0;
    /// Probability of success at the best target of this data centre that has
    /// a free slot; 0 if there is none.
    double success_here = 0;
    /// Targets of this data centre take requests for the service. If none does,
    /// as in a closed data centre, requests leave at once, and shares don't
    /// matter.
    bool has_targets_here = true;
};

/// Targets of a data centre that a request may be sent to.
struct transfer_offer
{
    /// Only those with a higher probability of success are worth the price.
    double min_success = 1;
    /// Their cost, in units of load.
    double cost = 0;
};

/// What the requests of one traffic thread may send to other data centres, and
/// the measurements behind it.
///
/// A request may leave if the plan has a share for the other data centre that
/// is not used up, and if what it gains is worth more than its bytes cost.
class transfer
{
public:
    transfer(std::optional<transfer_settings> settings,
        data_centre_id const& data_centre)
        : settings_(settings), data_centre_(data_centre.text())
    {
    }

    /// Without settings every target of another data centre is a candidate at
    /// a constant cost, and only what is sent is counted.
    bool enabled() const { return settings_.has_value(); }

    // Measurements.

    void record_arrival(
        std::string const& service, std::int64_t priority, time_point now);
    /// A request got no target.
    void record_refusal(std::string const& service, time_point now);
    void record_answer(std::string const& service, std::string const& route,
        duration latency, std::size_t bytes, time_point now);
    /// Slots of this data centre's targets that work, how many of them are
    /// occupied, and the requests that wait here.
    void set_capacity(std::string const& service, double slots, double occupied,
        double queued);

    /// Mean size of the requests of a route with their responses.
    double expected_bytes(std::string const& route) const;

    /// This thread's part of the loads, for its report.
    service_loads loads(time_point now) const;

    /// The loads that all other threads report.
    void apply_loads(service_loads const& others, time_point now);

    // Decision.

    /// Makes the plans again if the period is over.
    void tick(time_point now);

    /// Returns which targets in `data_centre` are candidates for the request;
    /// empty if none is.
    std::optional<transfer_offer> offer(transfer_request const& request,
        std::string const& data_centre, time_point now);

    /// Records that a request was sent to another data centre.
    void record_sent(std::string const& service, std::string const& data_centre,
        double bytes);

    /// The parts of the requests that may leave, by service and data centre.
    std::map<load_key, double> shares() const;
    std::uint64_t sent_requests() const { return sent_requests_; }
    double sent_bytes() const { return sent_bytes_; }

private:
    struct service_state
    {
        std::map<std::int64_t, rate_meter> arrivals;
        rate_meter completions;
        /// Seconds for which answered requests held a slot.
        rate_meter busy;
        rate_meter refused;
        double queued = 0;
        double slots = 0;
        double occupied = 0;
        bool has_capacity = false;
    };

    /// The share of one data centre, and what this thread has left of it.
    struct allowance
    {
        double share = 0;
        double tokens = 0;
    };

    void plan_service(std::string const& service, service_loads const& loads,
        duration elapsed, time_point now);
    void move_share(load_key const& key, double planned, double largest_growth);
    void refill(time_point now);
    double arrivals_of(std::string const& service, time_point now) const;
    double value_of(std::int64_t priority) const;
    bool is_allowed(std::string const& service, std::string const& data_centre,
        time_point now);
    double probability_here(
        transfer_request const& request, std::string const& service) const;

    std::optional<transfer_settings> settings_;
    std::string data_centre_;
    text_map<service_state> services_;
    /// Moving average of sizes by route.
    text_map<double> route_bytes_;
    service_loads others_;
    time_point others_at_{};
    std::map<std::string, transfer_plan> plans_;
    std::map<load_key, allowance> allowances_;
    std::int64_t lowest_priority_ = 0;
    time_point planned_at_{};
    time_point refilled_at_{};
    std::uint64_t sent_requests_ = 0;
    double sent_bytes_ = 0;
};

} // namespace pomelohinge

#endif
