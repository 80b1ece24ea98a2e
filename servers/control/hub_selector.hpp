#ifndef POMELOHINGE_SERVERS_CONTROL_HUB_SELECTOR_HPP
#define POMELOHINGE_SERVERS_CONTROL_HUB_SELECTOR_HPP

#include "core/clock.hpp"
#include "servers/membership/hub_order.hpp"

#include <map>
#include <optional>

namespace pomelohinge {

/// Which VM of a data centre is asked as its hub: the first in order that
/// answers and whose knowledge of the store is fresh, else the first that
/// answers at all.
class hub_selector
{
public:
    /// The hub to ask, or nothing if no candidate but this VM is left.
    /// `self` is empty for another data centre.
    std::optional<vm_record> choose(fleet_members const& members,
        data_centre_id const& data_centre, vm_id const& self,
        time_point now) const;

    /// A candidate did not answer.
    void failed(vm_id const& vm, time_point now);

    /// A candidate answered; what it knows of the store is `read_age` old.
    void answered(vm_id const& vm, duration read_age, time_point now);

private:
    struct experience
    {
        time_point unreachable_until{};
        time_point stale_until{};
    };

    experience of(vm_id const& vm) const;

    std::map<vm_id, experience> seen_;
};

/// Knowledge of the store that is older than this is stale: the configuration
/// is read every 0.8 s and reaches another hub within half a second.
inline constexpr duration stale_read_age = std::chrono::milliseconds(1400);

} // namespace pomelohinge

#endif
