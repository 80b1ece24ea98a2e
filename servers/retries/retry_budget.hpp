#ifndef POMELOHINGE_SERVERS_RETRIES_RETRY_BUDGET_HPP
#define POMELOHINGE_SERVERS_RETRIES_RETRY_BUDGET_HPP

#include "config/fleet_bounds.hpp"
#include "core/text_map.hpp"

#include <deque>

namespace pomelohinge {

/// Limits the retries of one traffic thread to each service, so that retries
/// do not multiply the load on failing upstreams. Within a sliding window, a
/// thread may send a number of retries in proportion to its own requests, plus
/// an equal share of the extra retries that the fleet is allowed. If every
/// thread keeps to this, the bound holds over the fleet.
class retry_budget
{
public:
    explicit retry_budget(fleet_bounds const& bounds) : bounds_(bounds) {}

    /// Counts a request that was accepted for the service.
    void request_began(std::string const& service, time_point now);

    /// Whether a retry may be sent now.
    bool allows(std::string const& service, time_point now);

    /// Counts one retry if it may be sent now, and returns whether it may.
    bool take(std::string const& service, time_point now);

    /// Sets the number of VMs by which the extra retries are divided: all of
    /// them, since callers may use VMs that are not listed as entries. A
    /// smaller number takes effect only after a whole window, because the VMs
    /// that have left may have used their shares of the current one.
    void set_vms(std::size_t vms, time_point now);

private:
    /// Counts within one slice of the window.
    struct slice
    {
        time_point begin;
        double requests = 0;
        double retries = 0;
    };

    struct history
    {
        std::deque<slice> slices;
    };

    slice& current_slice(std::string const& service, time_point now);
    void remove_expired(history& it, time_point now) const;

    /// Number of VMs by which the extra retries are divided at `now`.
    double effective_vms(time_point now) const;

    fleet_bounds bounds_;
    std::size_t vms_ = 1;
    /// Maximum number of VMs within the window, and the time until which
    /// it is used.
    std::size_t peak_vms_ = 1;
    time_point peak_until_{};
    text_map<history> services_;
};

} // namespace pomelohinge

#endif
