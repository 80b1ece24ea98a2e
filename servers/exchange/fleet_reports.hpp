#ifndef POMELOHINGE_SERVERS_EXCHANGE_FLEET_REPORTS_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_FLEET_REPORTS_HPP

#include "core/clock.hpp"
#include "core/text_map.hpp"
#include "servers/exchange/decaying_count.hpp"
#include "servers/poison/poison_guard.hpp"
#include "servers/rollouts/rollout_evidence.hpp"
#include "servers/transfer/service_load.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Reports that VMs exchange about the traffic they carry.
namespace pomelohinge {

/// Observations of one target.
struct target_report
{
    /// Requests currently in flight to the target.
    std::uint32_t in_flight = 0;
    /// Complete answers since the last report.
    std::uint32_t answers = 0;
    /// Failures since the last report that only the target can have caused.
    std::uint32_t faults = 0;
    /// Attempts since the last report that got no answer, which the network
    /// path to the target may have caused as well.
    std::uint32_t silences = 0;

    bool empty() const
    {
        return in_flight == 0 && answers == 0 && faults == 0 && silences == 0;
    }
    /// Whether there are outcomes of requests to report.
    bool has_observations() const
    {
        return answers != 0 || faults != 0 || silences != 0;
    }
    void add_observations(target_report const& other)
    {
        answers += other.answers;
        faults += other.faults;
        silences += other.silences;
    }

    friend bool operator==(
        target_report const&, target_report const&) = default;
};

/// Demand and grants of one organisation.
struct organisation_report
{
    /// Requests per second that callers send.
    double demand = 0;
    /// Requests granted within the sliding window of its rate limit.
    double granted = 0;
    /// The same by age, summed over the VMs whose reports are current.
    grant_counts grants = {};

    friend bool operator==(
        organisation_report const&, organisation_report const&) = default;
};

/// The report of one VM, or the sum of the reports of several.
struct traffic_report
{
    text_map<target_report> targets;
    text_map<organisation_report> organisations;
    std::vector<poison_suspect> suspects;
    /// Outcomes since the last report at services that are rolled out.
    rollout_evidence rollouts;
    /// Loads by service and data centre; empty without settings `transfer`.
    service_loads loads;
    /// Requests per second from callers.
    double load = 0;
    /// VMs that take requests from callers: 1 or 0 for a single VM.
    std::uint32_t entries = 0;
    /// Reports are missing from VMs that may still grant requests.
    bool partial = false;

    /// Adds the counts and observations of `other`.
    void add(traffic_report const& other);
};

/// Stores the latest report of each source and computes for each receiver the
/// sum of the reports of all others. Sources are VMs of this data centre and,
/// as one source each, the other data centres.
class report_aggregator
{
public:
    /// Stores the latest report of `source`, and its observations for delivery
    /// to all other sources. Two `remote` sources (other data centres) get
    /// nothing from each other, because their hubs exchange reports directly.
    void add_report(std::string const& source, bool remote,
        traffic_report report, time_point now);

    /// Sets the number of remote sources that have to report before a sum that
    /// begins now is complete.
    void expect_remote_sources(std::size_t n) { expected_remotes_ = n; }

    /// The sum of what all sources but `receiver` report. Each observation is
    /// delivered to it once.
    traffic_report report_for(std::string const& receiver, bool remote);

    /// Grants to the organisation within the sliding window, of all sources.
    double granted(std::string const& organisation) const;

    /// Whether failures observed by others are not yet delivered to `receiver`.
    bool has_failures_for(std::string const& receiver) const;

    /// Drops data of sources that no longer report: first their requests in
    /// flight, later their grants, because a source that is cut off from this
    /// one may go on granting requests for as long as its keys are fresh.
    void expire(time_point now);

    void remove(std::string const& source) { sources_.erase(source); }

private:
    struct source_entry
    {
        /// Another data centre.
        bool remote = false;
        traffic_report last;
        /// Grants of this source within the sliding window, by organisation.
        text_map<decaying_count> granted;
        /// Observations of others not yet delivered to this source.
        text_map<target_report> pending;
        /// Evidence of others on rollouts, not yet delivered to this source.
        rollout_evidence pending_rollouts;
        time_point reported_at{};
        /// When the grants by age in `last` were last shifted.
        time_point aged_at{};
        /// The same for the loads in it.
        time_point loads_aged_at{};
        /// Its latest report is so old that it may have granted more since.
        bool is_stale = false;
    };

    bool is_starting(bool for_remote) const;
    void add_pending(std::string const& from, source_entry const& entry);
    static void count_grants(source_entry& it, time_point now);
    static void decay_grants(source_entry& it, time_point now);
    static void age_grants(source_entry& it, time_point now);
    static void age_loads(source_entry& it, time_point now);

    text_map<source_entry> sources_;
    std::size_t expected_remotes_ = 0;
    /// When the latest report of any source arrived.
    time_point last_report_at_{};
    /// Since when reports have arrived without a long gap. The sum is marked
    /// partial until every source has had the time to report.
    time_point reporting_since_{};
};

} // namespace pomelohinge

#endif
