#ifndef POMELOHINGE_SERVERS_EXCHANGE_REPORT_CHANGES_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_REPORT_CHANGES_HPP

#include "servers/exchange/fleet_reports.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Delta encoding of the reports between hubs of different data centres.
namespace pomelohinge {

/// A state of a report that a receiver can hold. A stream begins with a
/// complete report, and its index of names is valid until its end.
struct report_position
{
    /// 0 stands for none. Later streams of a sender have higher numbers.
    std::uint64_t stream = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(
        report_position const&, report_position const&) = default;
};

/// A name that rows refer to by its index from now on.
struct indexed_name
{
    std::uint32_t index = 0;
    std::string text;

    friend bool operator==(indexed_name const&, indexed_name const&) = default;
};

/// Requests in flight at a target, and observations since its last row.
struct target_change
{
    std::uint32_t target = 0;
    target_report report;

    friend bool operator==(
        target_change const&, target_change const&) = default;
};

/// Demand and grants of an organisation, which replace those before. All zero
/// if there are none any more.
struct organisation_change
{
    std::uint32_t organisation = 0;
    organisation_report report;

    friend bool operator==(
        organisation_change const&, organisation_change const&) = default;
};

/// Changes of a traffic report. What has no row is as it was at `base`.
struct report_changes
{
    /// The state after these changes.
    report_position position;
    /// Sequence number of the state that they change; 0 if this is the complete
    /// report.
    std::uint64_t base = 0;
    std::vector<indexed_name> target_names;
    std::vector<indexed_name> organisation_names;
    std::vector<target_change> targets;
    std::vector<organisation_change> organisations;
    /// Always complete.
    std::vector<poison_suspect> suspects;
    /// Observations since the last report at services that are rolled out.
    rollout_evidence rollouts;
    /// Complete if there are any.
    std::optional<service_loads> loads;
    double load = 0;
    std::uint32_t entries = 0;
    bool partial = false;

    bool is_complete() const { return base == 0; }
};

} // namespace pomelohinge

#endif
