#ifndef POMELOHINGE_SERVERS_LIMITS_ORGANISATION_LIMITS_HPP
#define POMELOHINGE_SERVERS_LIMITS_ORGANISATION_LIMITS_HPP

#include "config/objects.hpp"
#include "core/text_map.hpp"
#include "servers/exchange/fleet_reports.hpp"
#include "servers/limits/rate_meter.hpp"
#include "servers/limits/token_bucket.hpp"

namespace pomelohinge {

/// Whether a request is within its organisation's rate.
struct charge_verdict
{
    bool granted = false;
    /// Time until a token may be available, if the request was not granted.
    duration retry_after{};
    /// The inputs of the decision: this thread's share of the rate, 0 to 1,
    /// the demand at this thread and elsewhere in requests per second, and
    /// the grants of all threads within the window.
    double share = 0;
    double demand = 0;
    double demand_elsewhere = 0;
    double granted_by_all = 0;
    /// Whether recent reports cover all other VMs, and the age of the latest
    /// report.
    bool has_all_reports = false;
    duration report_age{};
};

/// One traffic thread's share of the rate and burst of every organisation.
///
/// The limit of the fleet is divided by demand: each thread fills a token
/// bucket at a share of the rate that is in proportion to the demand of its
/// own callers and the reported demand elsewhere. Without recent reports the
/// share is not raised.
///
/// A bucket holds at least one whole token, so that many threads together
/// may hold more than the burst. Each thread therefore also stops granting
/// once the grants of all threads, as far as they are reported, reach what
/// rate and burst allow within the sliding window.
///
/// The limit within a window is the sum of rate and burst. While reports
/// cover all other VMs, half of the burst is spread over the window.
///
/// With few requests per thread, arrivals are uneven. A request that finds
/// the bucket empty is still granted while recent reports cover all other
/// VMs, the total demand is below the rate and the total grants are clearly
/// below it.
class organisation_limits
{
public:
    /// The sliding window over which grants count against the limit.
    static constexpr duration window = limit_window;

    /// Decides whether one request of `organisation` is within `rate`, and
    /// counts it if so.
    charge_verdict charge(std::string const& organisation,
        rate_object const& rate, time_point now);

    /// Returns the token, granted at `granted_at`, of a request that was not
    /// sent to any target.
    void refund(
        std::string const& organisation, time_point granted_at, time_point now);

    /// Applies the combined report of all other VMs.
    void apply_report(traffic_report const& report, time_point now);

    /// Demand and grants at this thread by organisation. Organisations without
    /// grants and with hardly any demand are left out.
    text_map<organisation_report> make_report(time_point now);

    /// Sets the number of VMs that are listed as entries, and of all VMs. Until
    /// enough entries have reported, the limits are divided among all VMs,
    /// since callers may still use the addresses of any.
    void set_listed_vms(std::size_t entries, std::size_t vms);

    /// Removes organisations without demand that were not used recently.
    void remove_idle(time_point now);

private:
    struct organisation_state
    {
        token_bucket bucket{{}, 0, {}};
        rate_meter demand;
        window_counter grants{window};
        /// Demand and grants of all others.
        organisation_report elsewhere;
        /// Grants of all others, by the latest and earlier reports.
        grant_history granted_elsewhere;
        double share = 0;
        /// The share at the latest report.
        double share_at_report = 0;
        /// The share at an earlier report that covered all other VMs, and the
        /// one that replaces it next.
        double complete_share = 0;
        double next_complete_share = 0;
        bool has_bucket = false;
        time_point last_used_at{};
    };

    /// This thread's share of the rate and burst, 0 to 1.
    double compute_share(organisation_state const& it, rate_object const& rate,
        time_point now) const;

    /// Whether a request may be granted without a token: recent reports cover
    /// all other VMs, and the total demand and grants leave a part of the rate.
    bool has_spare_rate(organisation_state const& it, rate_object const& rate,
        double granted_by_all, time_point now) const;

    /// Whether the latest report is recent and covers all other VMs, and
    /// `has_settled`.
    bool has_all_reports(time_point now) const;

    bucket_rate rate_of_share(organisation_state const& it,
        rate_object const& rate, time_point now) const;

    /// Tokens in a new bucket.
    double initial_tokens(rate_object const& rate, time_point now) const;

    /// Estimates the grants of the others since the latest report.
    double estimate_unreported_grants(organisation_state const& it,
        rate_object const& rate, time_point now) const;

    /// Number of VMs that may grant requests of any organisation.
    double count_granting_vms(time_point now) const;

    /// Whether this thread began less than a window ago. Grants from before
    /// still count then, and it may not know them.
    bool is_new(time_point now) const
    {
        return now - first_report_at_ < window;
    }

    /// Whether reports have been received for long enough that they cover the
    /// demand of the whole fleet.
    bool has_settled(time_point now) const;
    void save_complete_shares(time_point now);

    text_map<organisation_state> organisations_;
    /// Entries covered by the latest report, including this one; entries and
    /// VMs that are listed.
    std::size_t reported_entries_ = 1;
    std::size_t listed_entries_ = 1;
    std::size_t listed_vms_ = 1;
    time_point first_report_at_{};
    time_point last_report_at_{};
    bool last_report_is_complete_ = false;
    time_point shares_saved_at_{};
};

} // namespace pomelohinge

#endif
