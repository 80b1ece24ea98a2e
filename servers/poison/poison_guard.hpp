#ifndef POMELOHINGE_SERVERS_POISON_POISON_GUARD_HPP
#define POMELOHINGE_SERVERS_POISON_POISON_GUARD_HPP

#include "core/clock.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// Hash of a request's organisation, method, path and body.
using fingerprint = std::uint64_t;

fingerprint fingerprint_of(std::string_view organisation,
    std::string_view method, std::string_view path, std::string_view body);

/// A suspected poison request as it is reported to other VMs.
struct poison_suspect
{
    fingerprint request_fingerprint = 0;
    /// Number of crashes of targets that were running the request.
    std::uint32_t crashes = 0;
    /// Time since the last crash.
    duration age{};

    friend bool operator==(
        poison_suspect const&, poison_suspect const&) = default;
};

/// Detects poison requests, which crash the targets that run them. A request
/// is suspected if the connection to its target is lost while it runs. After
/// several crashes the request is held back, for a time that doubles with
/// each further crash.
class poison_guard
{
public:
    /// Records that the connection to `target` was lost while the target was
    /// running the request.
    void record_crash(fingerprint request_fingerprint, std::string_view target,
        time_point now);

    /// Merges a suspect reported by another VM.
    void merge(poison_suspect const& suspect, time_point now);

    /// The time for which the request is still held back; zero if it may be
    /// sent.
    duration remaining_hold(
        fingerprint request_fingerprint, time_point now) const;

    /// Whether there are no suspects, so that no fingerprint needs to be
    /// computed.
    bool empty() const { return suspects_.empty(); }

    /// The suspects for a report to other VMs, latest crash first.
    std::vector<poison_suspect> suspects(time_point now) const;

    /// Removes the suspects that have had no crash for long enough.
    void remove_expired(time_point now);

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        std::uint64_t last_target_hash = 0;
        time_point last_crash_at{};
    };

    absl::flat_hash_map<fingerprint, suspect> suspects_;
};

} // namespace pomelohinge

#endif
