#ifndef POMELOHINGE_SERVERS_TRANSFER_TRANSFER_PLAN_HPP
#define POMELOHINGE_SERVERS_TRANSFER_TRANSFER_PLAN_HPP

#include "servers/transfer/service_load.hpp"

namespace pomelohinge {

/// What a data centre may send to others of the requests for one service.
struct transfer_plan
{
    /// Part of its requests, by the data centre that gets them.
    std::map<std::string, double> shares;
    /// Probability that a request finds a slot in time in its own data centre,
    /// by priority.
    std::map<std::int64_t, double> served_here;
    /// The data centre has working targets of its own.
    bool has_slots_here = true;
};

/// Divides the free capacity of each data centre among those that are short, in
/// proportion to what they lack. It depends on what callers send in each data
/// centre, not on what has been transferred, so that a transfer does not change
/// its own cause. All data centres compute it from the same reports.
///
/// The free capacity of a data centre that has not been heard from lately is
/// divided equally, and decays to zero.
transfer_plan plan_transfers(service_loads const& loads,
    std::string const& service, std::string const& own_data_centre);

} // namespace pomelohinge

#endif
