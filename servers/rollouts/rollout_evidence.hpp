#ifndef POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_EVIDENCE_HPP
#define POMELOHINGE_SERVERS_ROLLOUTS_ROLLOUT_EVIDENCE_HPP

#include "core/clock.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

/// What the traffic shows of the versions of a service that is rolled out.
namespace pomelohinge {

/// Latencies in classes of half a power of two, from 1 ms on.
class latency_classes
{
public:
    static constexpr std::size_t count = 32;

    void add(duration latency);
    void add(latency_classes const& other);

    std::uint64_t total() const;

    /// The latency that `share` of the answers do not exceed, interpolated
    /// within a class; zero if there are no answers.
    duration quantile(double share) const;

    std::array<std::uint32_t, count> const& counts() const { return counts_; }
    void set_count(std::size_t at, std::uint32_t n) { counts_[at] = n; }

    friend bool operator==(
        latency_classes const&, latency_classes const&) = default;

private:
    std::array<std::uint32_t, count> counts_{};
};

/// What a row of evidence is about.
struct evidence_key
{
    std::string service;
    std::string route;
    /// A target of the new version; empty for all targets of the old ones.
    std::string target;

    friend auto operator<=>(evidence_key const&, evidence_key const&) = default;
};

/// Outcomes of attempts since the last report.
struct evidence_counts
{
    /// Answers in time.
    std::uint32_t good = 0;
    /// Failures that only the target can have caused.
    std::uint32_t failed = 0;
    /// Answers that took far longer than those of the old version.
    std::uint32_t slow = 0;
    /// Only of the old versions, whose answers are what is compared with.
    latency_classes latencies;

    std::uint32_t bad() const { return failed + slow; }
    std::uint32_t total() const { return good + bad(); }
    void add(evidence_counts const& other);

    friend bool operator==(
        evidence_counts const&, evidence_counts const&) = default;
};

/// Evidence of all services that are rolled out; empty if there are none.
using rollout_evidence = std::map<evidence_key, evidence_counts>;

void add_evidence(rollout_evidence& to, rollout_evidence const& from);

} // namespace pomelohinge

#endif
