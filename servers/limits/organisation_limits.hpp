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
    /// When a token may be there, if it was not.
    duration retry_after{};
    /// What decided: this thread's share of the rate, what it and the others
    /// are asked for, in requests a second, and what was let through within
    /// the window by all.
    double share = 0;
    double demand = 0;
    double demand_elsewhere = 0;
    double granted_by_all = 0;
    /// Whether all others were heard lately, and how long ago the last word
    /// came.
    bool has_all_reports = false;
    duration report_age{};
};

/// One traffic thread's part of every organisation's rate and burst. The
/// fleet's limit is divided by demand: each thread fills its bucket with the
/// share of the rate that its callers ask for, as far as it knows what the
/// others ask for. Without word from the others the share is not raised.
/// Since a bucket holds a whole token at least, many threads together may
/// hold more than the burst; so each also stops when all of them, as far as
/// it knows, have let through what rate and burst allow within the window.
/// The limit within a window is rate and burst together, so while all others
/// are known, half of the burst is spread over the window.
/// And since few requests at a thread come at uneven times, one that finds its
/// bucket empty is let through while all threads were heard lately, are asked
/// for less than the rate and have let through clearly less.
class organisation_limits
{
public:
    /// Over which time grants are counted.
    static constexpr duration window = limit_window;

    /// Asks for one request of `organisation`.
    charge_verdict charge(std::string const& organisation,
        rate_object const& rate, time_point now);

    /// Gives back a token whose request went to no target.
    void refund(std::string const& organisation, time_point now);

    /// What all others report.
    void apply_report(traffic_report const& told, time_point now);

    text_map<organisation_report> make_report(time_point now);

    /// How many VMs are listed as entries. They share the limits until the
    /// others are known well enough.
    void set_listed_entries(std::size_t entries);

    void remove_idle(time_point now);

private:
    struct part
    {
        token_bucket bucket{{}, 0, {}};
        rate_meter demand;
        window_counter grants{window};
        organisation_report others;
        /// What all others have let through.
        grant_history granted_elsewhere;
        double share = 0;
        /// The share when the others were last heard.
        double told_share = 0;
        /// The share while all of them were heard, some time before the last
        /// word, and the share that becomes it.
        double whole_share = 0;
        double next_whole_share = 0;
        bool filled = false;
        time_point used_at{};
    };

    double share_of(
        part const& it, rate_object const& rate, time_point now) const;

    bool fleet_has_spare(part const& it, rate_object const& rate,
        double granted_by_all, time_point now) const;

    /// All others were heard lately, for long enough to know what they count.
    bool has_all_reports(time_point now) const;

    bucket_rate own_rate(
        part const& it, rate_object const& rate, time_point now) const;

    /// What a bucket holds at first.
    double first_tokens(rate_object const& rate, time_point now) const;

    /// What the others may have let through since they were last heard.
    double granted_unheard(
        part const& it, rate_object const& rate, time_point now) const;

    bool has_settled(time_point now) const;
    void remember_shares(time_point now);

    text_map<part> parts_;
    /// Entries that were heard of, with this one, and those listed.
    std::size_t entries_ = 1;
    std::size_t listed_ = 1;
    time_point first_heard_at_{};
    time_point heard_at_{};
    bool heard_all_ = false;
    time_point shares_kept_at_{};
};

} // namespace pomelohinge

#endif
