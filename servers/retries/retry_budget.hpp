#ifndef POMELOHINGE_SERVERS_RETRIES_RETRY_BUDGET_HPP
#define POMELOHINGE_SERVERS_RETRIES_RETRY_BUDGET_HPP

#include "config/fleet_bounds.hpp"
#include "core/text_map.hpp"

#include <deque>

namespace pomelohinge {

/// Bounds the retries of one traffic thread to each service, so that they
/// never multiply the load on upstreams in trouble. The thread takes the
/// ratio of its own requests and an even part of the extra retries; both
/// hold over the fleet when every thread keeps to them.
class retry_budget
{
public:
    explicit retry_budget(fleet_bounds const& bounds) : bounds_(bounds) {}

    /// A request for the service was taken.
    void request_began(std::string const& service, time_point now);

    /// Whether a retry may be sent now.
    bool allows(std::string const& service, time_point now);

    /// Takes the right to one retry, if there is one.
    bool take(std::string const& service, time_point now);

    /// Over how many VMs the extra retries are divided. What fewer VMs may
    /// take counts only once the window has passed, since those before them
    /// have used their parts of it.
    void set_entries(std::size_t entries, time_point now);

private:
    /// Counts of one slice of the window.
    struct slice
    {
        time_point began;
        double requests = 0;
        double retries = 0;
    };

    struct history
    {
        std::deque<slice> slices;
    };

    slice& current(std::string const& service, time_point now);
    void drop_old(history& it, time_point now) const;

    fleet_bounds bounds_;
    double entries(time_point now) const;

    std::size_t entries_ = 1;
    /// The most VMs within the window, and until when they count.
    std::size_t peak_entries_ = 1;
    time_point peak_until_{};
    text_map<history> services_;
};

} // namespace pomelohinge

#endif
