#ifndef POMELOHINGE_SERVERS_SELECTION_SERVICE_BASELINES_HPP
#define POMELOHINGE_SERVERS_SELECTION_SERVICE_BASELINES_HPP

#include "core/clock.hpp"
#include "core/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

namespace pomelohinge {

/// Statistics of a service over all its targets, from one traffic thread.
struct service_baseline
{
    /// Median latency of answers; zero until there are enough of them.
    duration median_latency{};
    /// Moving average of the share of attempts that fail, 0 to 1.
    double failure_rate = 0;
    /// Moving average of the share of first failures of a target that are
    /// followed by another one, 0 to 1. It tells targets that fail from healthy
    /// ones, which fail a request at times.
    double confirmation_rate = 0;
};

/// The baselines of all services on one traffic thread.
class service_baselines
{
public:
    /// Adds the latency of an answer.
    void add_latency(service_id const& service, duration latency);

    /// Adds the result of an attempt at a trusted target.
    void add_attempt(service_id const& service, bool failed);

    /// Adds the observation of a target that followed its first failure.
    void add_confirmation(service_id const& service, bool failed);

    /// Returns the baseline of a service; all zero without attempts.
    service_baseline baseline(service_id const& service) const;

private:
    struct estimates
    {
        /// Median estimate in nanoseconds, moved by a relative step for each
        /// value (frugal streaming; Ma, Muthukrishnan and Sandler, 2013).
        double median_latency = 0;
        double failure_rate = 0;
        double confirmation_rate = 0;
        std::size_t answers = 0;
    };

    absl::flat_hash_map<service_id, estimates> services_;
};

} // namespace pomelohinge

#endif
