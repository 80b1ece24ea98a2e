#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_EVIDENCE_SUMMARY_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_EVIDENCE_SUMMARY_HPP

#include "core/clock.hpp"
#include "servers/membership/view.hpp"
#include "servers/ownership/freshness.hpp"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstdint>
#include <map>

namespace pomelohinge {

/// Width and number of the age classes of a summary; the last class has no
/// upper bound.
inline constexpr duration age_class_width = std::chrono::milliseconds(500);
inline constexpr std::size_t age_classes = 12;

/// What the VMs of one data centre said of themselves lately, counted by
/// age. Ages are rounded up, so that a summary never shows more than is so.
struct evidence_summary
{
    /// VMs by the age of their last read of the store.
    std::array<std::uint32_t, age_classes> read_ages{};
    /// VMs that hold `view_digest` and cannot reach the store, by the age
    /// of their report.
    std::uint64_t view_digest = 0;
    std::array<std::uint32_t, age_classes> hold_ages{};
};

/// What a watcher hears from the VMs of its data centre.
class evidence_book
{
public:
    /// A VM reported, not before `said_after`, that it holds `view_digest`
    /// and last read the store `read_age` ago.
    void heard(vm_id const& vm, std::uint64_t view_digest, duration read_age,
        time_point said_after);

    /// Forgets VMs that are not in `view`.
    void follow(data_centre_view const& view);

    /// Summary for holders of `view_digest`.
    evidence_summary summarise(std::uint64_t view_digest, time_point now) const;

private:
    struct report
    {
        std::uint64_t view_digest;
        duration read_age;
        time_point said_after;
    };

    absl::flat_hash_map<vm_id, report> reports_;
};

/// The summaries of all data centres, as one watcher has them.
class fleet_evidence
{
public:
    /// Takes the summary of one data centre, made not before `made_at`.
    void put(data_centre_id const& data_centre, evidence_summary const& summary,
        time_point made_at);

    /// The age within which `count` VMs have read the store; the largest
    /// duration if there are fewer.
    duration read_age_of(std::size_t count, time_point now) const;

    /// The majority of `vms` VMs that hold `view_digest` without the store.
    hold_evidence majority_hold(
        std::size_t vms, std::uint64_t view_digest, time_point now) const;

    struct held_summary
    {
        evidence_summary summary;
        time_point made_at;
    };

    std::map<data_centre_id, held_summary> const& summaries() const
    {
        return summaries_;
    }

private:
    std::map<data_centre_id, held_summary> summaries_;
};

} // namespace pomelohinge

#endif
