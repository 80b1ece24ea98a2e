#ifndef POMELOHINGE_STAND_INS_SCENARIO_HPP
#define POMELOHINGE_STAND_INS_SCENARIO_HPP

#include "core/findings.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge::stand_ins {

/// Callers of one organisation that behave alike.
struct tenant
{
    std::string organisation;
    std::string key;
    std::string service;
    std::string path;
    std::string method = "GET";
    double requests_per_second = 1;
    /// Each request is a payment with an id of its own.
    bool payments = false;
    /// Payments carry an `Idempotency-Key` and are sent again after an
    /// outcome that is not known.
    bool repeats = false;
    /// The entry question is not asked; addresses are drawn at random.
    bool ignores_entries = false;
    std::int64_t deadline_ms = 2000;
    std::int64_t body_bytes = 0;
};

/// What the caller stand-in does.
struct scenario
{
    std::int64_t seed = 1;
    double duration_s = 10;
    /// Measured from here on; before it the run warms up.
    double warm_up_s = 0;
    /// Entry VMs that are known from the start.
    std::vector<std::string> entries;
    /// Upstream stand-ins whose ledgers are compared at the end.
    std::vector<std::string> ledgers;
    std::vector<tenant> tenants;
};

/// Reads a scenario in JSON with comments; problems are added to `found`.
std::optional<scenario> parse_scenario(std::string_view text, findings& found);

} // namespace pomelohinge::stand_ins

#endif
