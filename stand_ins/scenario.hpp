#ifndef POMELOHINGE_STAND_INS_SCENARIO_HPP
#define POMELOHINGE_STAND_INS_SCENARIO_HPP

#include "core/findings.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge::stand_ins {

/// A group of callers of one organisation with the same behaviour: an element
/// of the scenario's field `tenants`.
struct caller_group
{
    std::string organisation;
    /// API key; if it is empty, requests carry none.
    std::string key;
    std::string service;
    std::string path;
    std::string method = "GET";
    double requests_per_second = 1;
    /// Each request is a payment with a unique id.
    bool payments = false;
    /// Field `repeats`: payments carry an `Idempotency-Key` and are sent again
    /// after an unknown outcome.
    bool idempotent_payments = false;
    /// Requests that were refused as not run are sent again to the same entry
    /// VM, half of them with the same request id.
    bool retries_refused = false;
    /// No lookup of entry addresses: each request goes to a random entry VM of
    /// the scenario.
    bool ignores_entries = false;
    std::int64_t deadline_ms = 2000;
    std::int64_t body_bytes = 0;
};

/// The load that the stand-in for callers generates.
struct scenario
{
    std::int64_t seed = 1;
    double duration_s = 10;
    /// Requests scheduled before this time are left out of the results; only
    /// their payments are checked.
    double warm_up_s = 0;
    /// Addresses of the entry VMs that serve the lookups of entry addresses.
    /// Requests also go to them when no cached entry address accepts a
    /// connection.
    std::vector<std::string> entries;
    /// Addresses of upstream stand-ins whose ledgers are checked at the end.
    std::vector<std::string> ledgers;
    /// The elements of the field `tenants`.
    std::vector<caller_group> groups;
};

/// Parses a scenario from JSON with comments. Problems are added to `found`;
/// if there are any, the result is empty.
std::optional<scenario> parse_scenario(std::string_view text, findings& found);

} // namespace pomelohinge::stand_ins

#endif
