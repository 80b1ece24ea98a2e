#ifndef POMELOHINGE_SERVERS_POISON_POISON_GUARD_HPP
#define POMELOHINGE_SERVERS_POISON_POISON_GUARD_HPP

#include "core/clock.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// Tells requests apart by organisation, method, path and body.
using fingerprint = std::uint64_t;

fingerprint fingerprint_of(std::string_view organisation,
    std::string_view method, std::string_view path, std::string_view body);

/// A suspect as it is told to other VMs.
struct poison_suspect
{
    fingerprint request_fingerprint = 0;
    /// Targets that it has cost.
    std::uint32_t crashes = 0;
    /// Time since the last of them.
    duration age{};

    friend bool operator==(
        poison_suspect const&, poison_suspect const&) = default;
};

/// Remembers requests that were under way when their target's connection
/// was lost. One that has cost several targets is held back, longer with
/// each further one.
class poison_guard
{
public:
    /// A target was lost while the request was under way there.
    void record_crash(fingerprint request_fingerprint, std::string_view target,
        time_point now);

    /// Takes what another VM knows of a suspect.
    void merge(poison_suspect const& suspect, time_point now);

    /// How long the request is held back; zero if it may go.
    duration remaining_hold(
        fingerprint request_fingerprint, time_point now) const;

    /// Whether nothing is remembered, so that asking can be skipped.
    bool empty() const { return suspects_.empty(); }

    /// What others should know, the latest first.
    std::vector<poison_suspect> suspects(time_point now) const;

    void remove_expired(time_point now);

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        std::uint64_t last_target = 0;
        time_point at{};
    };

    absl::flat_hash_map<fingerprint, suspect> suspects_;
};

} // namespace pomelohinge

#endif
