#ifndef POMELOHINGE_SERVERS_TRANSFER_SERVICE_LOAD_HPP
#define POMELOHINGE_SERVERS_TRANSFER_SERVICE_LOAD_HPP

#include "core/clock.hpp"
#include "core/identifiers.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace pomelohinge {

/// Load and capacity of a service in one data centre, as one traffic thread
/// there reports them, or the sum over several.
struct service_load
{
    /// Requests per second that callers send, by priority.
    std::map<std::int64_t, double> arrivals;
    /// Answers per second, and the mean number of slots that they held.
    double completions = 0;
    double busy = 0;
    /// Requests that wait for a target, and refusals per second for lack of
    /// one.
    double queued = 0;
    double refused = 0;
    /// Slots of the targets of this data centre that work, and how many are
    /// occupied. Each thread reports all of them, so that `reporters` divides
    /// the sum.
    double slots = 0;
    double occupied = 0;
    std::uint32_t reporters = 0;
    /// Time since the data centre reported this.
    duration age{};

    void add(service_load const& other)
    {
        for (auto const& [priority, rate] : other.arrivals)
            arrivals[priority] += rate;
        completions += other.completions;
        busy += other.busy;
        queued += other.queued;
        refused += other.refused;
        slots += other.slots;
        occupied += other.occupied;
        reporters += other.reporters;
        age = std::max(age, other.age);
    }

    friend bool operator==(service_load const&, service_load const&) = default;
};

struct load_key
{
    std::string service;
    std::string data_centre;

    friend auto operator<=>(load_key const&, load_key const&) = default;
};

using service_loads = std::map<load_key, service_load>;

} // namespace pomelohinge

#endif
