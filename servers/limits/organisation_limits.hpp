#ifndef POMELOHINGE_SERVERS_LIMITS_ORGANISATION_LIMITS_HPP
#define POMELOHINGE_SERVERS_LIMITS_ORGANISATION_LIMITS_HPP

#include "config/objects.hpp"
#include "core/text_map.hpp"
#include "servers/limits/token_bucket.hpp"

namespace pomelohinge {

/// Counts events a second over about the last second.
class rate_meter
{
public:
    void add(time_point now, double events = 1);
    double per_second(time_point now) const;

private:
    double value_ = 0;
    time_point at_{};
};

/// Whether a request is within its organisation's rate.
struct charge_verdict
{
    bool granted = false;
    /// When a token may be there, if it was not.
    duration retry_after{};
    /// What decided: this thread's share of the rate and what it and the
    /// others are asked for, in requests a second.
    double share = 0;
    double demand = 0;
    double others = 0;
};

/// One traffic thread's part of every organisation's rate and burst. The
/// fleet's limit is divided by demand: each thread fills its bucket with the
/// share of the rate that its callers ask for, as far as it knows what the
/// others ask for. Without word from the others the share is not raised.
class organisation_limits
{
public:
    /// Asks for one request of `organisation`.
    charge_verdict charge(std::string const& organisation,
        rate_object const& rate, time_point now);

    /// Gives back a token whose request went to no target.
    void refund(std::string const& organisation, time_point now);

    /// What all others ask for, and how many take requests in all.
    void others(
        text_map<double> const& rates, std::size_t entries, time_point now);

    /// Requests a second that this thread's callers ask for.
    text_map<double> demands(time_point now) const;

    /// How many VMs share the limits as long as nobody has said.
    void expect_entries(std::size_t entries);

    void forget_idle(time_point now);

private:
    struct part
    {
        token_bucket bucket{{}, 0, {}};
        rate_meter demand;
        double others = 0;
        double share = 0;
        bool filled = false;
        time_point used_at{};
    };

    double share_of(
        part const& it, rate_object const& rate, time_point now) const;

    text_map<part> parts_;
    std::size_t entries_ = 1;
    time_point heard_at_{};
};

} // namespace pomelohinge

#endif
