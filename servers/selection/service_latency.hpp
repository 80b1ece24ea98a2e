#ifndef POMELOHINGE_SERVERS_SELECTION_SERVICE_LATENCY_HPP
#define POMELOHINGE_SERVERS_SELECTION_SERVICE_LATENCY_HPP

#include "core/clock.hpp"
#include "core/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

namespace pomelohinge {

/// What a traffic thread has seen of a service over all its targets.
struct service_baseline
{
    /// Median latency of answers; zero until enough were seen.
    duration median{};
    /// Share of attempts that went wrong, 0 to 1.
    double failures = 0;
};

/// Keeps baselines by service; lives on a traffic thread.
class service_latencies
{
public:
    /// Adds an answer's latency.
    void add(service_id const& service, duration latency);

    /// Adds the end of an attempt at a target that is not doubted.
    void note_end(service_id const& service, bool failed);

    service_baseline baseline(service_id const& service) const;

private:
    struct tracked
    {
        /// Estimate of the median by steps up and down (frugal streaming,
        /// Ma, Muthukrishnan and Sandler, 2013), in nanoseconds.
        double median = 0;
        double failures = 0;
        std::size_t attempts = 0;
    };

    absl::flat_hash_map<service_id, tracked> services_;
};

} // namespace pomelohinge

#endif
