#ifndef POMELOHINGE_SERVERS_EXCHANGE_FLEET_REPORTS_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_FLEET_REPORTS_HPP

#include "core/clock.hpp"
#include "core/text_map.hpp"
#include "servers/exchange/decaying_count.hpp"
#include "servers/poison/poison_guard.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// What VMs tell each other of the traffic they carry.
namespace pomelohinge {

/// What was seen of one target.
struct target_report
{
    /// Requests under way there now.
    std::uint32_t in_flight = 0;
    /// Since the last report: whole answers, faults that only the target can
    /// have caused, and attempts without any answer, which the way to the
    /// target may have caused as well.
    std::uint32_t answers = 0;
    std::uint32_t faults = 0;
    std::uint32_t silences = 0;

    bool empty() const
    {
        return in_flight == 0 && answers == 0 && faults == 0 && silences == 0;
    }
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

/// What callers of one organisation ask for and get.
struct organisation_report
{
    /// Requests a second that are asked for.
    double demand = 0;
    /// Requests that were let through within the window of its limit.
    double granted = 0;
    /// The same by age, as the VMs counted it that are heard.
    grant_counts grants = {};

    friend bool operator==(
        organisation_report const&, organisation_report const&) = default;
};

/// What one VM, or all VMs of a data centre, report.
struct traffic_report
{
    text_map<target_report> targets;
    text_map<organisation_report> organisations;
    std::vector<poison_suspect> suspects;
    /// Requests a second from callers.
    double load = 0;
    /// VMs that take requests from callers; 1 for a VM, 0 if it takes none.
    std::uint32_t entries = 0;
    /// Some VMs that may still let requests through were not heard lately.
    bool partial = false;

    /// Takes over counts, and news since the last report.
    void add(traffic_report const& other);
};

/// Keeps what several sources report and works out for each of them what
/// the others have said.
class report_aggregator
{
public:
    /// Takes the newest report of `source`. Its news go to all other
    /// sources, but between two that are `distant` (hubs of other data
    /// centres), which tell each other themselves.
    void take(std::string const& source, bool distant, traffic_report report,
        time_point now);

    /// What the others have said to `reader`; their news are told once.
    traffic_report report_for(std::string const& reader, bool distant);

    /// Whether the others have failures to tell `reader` that it does not
    /// know yet.
    bool has_failures_for(std::string const& reader) const;

    /// Forgets what sources said that have fallen silent: soon what they had
    /// under way, later what they let through, since one that is cut off may
    /// go on for as long as its keys count as fresh.
    void expire(time_point now);

    void forget(std::string const& source) { sources_.erase(source); }

private:
    struct source_entry
    {
        bool distant = false;
        traffic_report last;
        /// What it has let through within the window.
        text_map<decaying_count> granted;
        /// News of others that this source has not been told yet.
        text_map<target_report> untold;
        time_point heard_at{};
        time_point aged_at{};
        /// It may let requests through of which nothing is known.
        bool silent = false;
    };

    void spread(std::string const& from, source_entry const& entry);
    static void count_grants(source_entry& it, time_point now);
    static void fade_grants(source_entry& it, time_point now);
    static void age_grants(source_entry& it, time_point now);

    text_map<source_entry> sources_;
    time_point taken_at_{};
    /// Since when reports have come without a long pause. Until every source
    /// has had the time to report, not all are known.
    time_point began_at_{};
};

} // namespace pomelohinge

#endif
