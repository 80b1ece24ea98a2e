#include "servers/control/fleet_state.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace pomelohinge {

void fleet_state::set_configuration(
    configuration_document document, configuration const& decoded)
{
    check_invariant(invariant::configuration_never_reverts,
        document.version > document_.version,
        fmt::format("{} after {}", document.version, document_.version));
    document_ = std::move(document);
    index_ = std::make_shared<configuration_index>(decoded, document_.version);
}

void fleet_state::confirm(std::uint64_t version, time_point read_at)
{
    // A read of an older version was made before the change to the version
    // held. A newer version that could not be decoded means that the version
    // held is no longer in force.
    if (version == document_.version && read_at > read_at_)
        read_at_ = read_at;
}

bool fleet_state::apply_targets(target_changes changes)
{
    if (!targets_.apply(std::move(changes)))
        return false;
    catalogue_ = std::make_shared<target_catalogue>(targets_.catalogue());
    return true;
}

bool fleet_state::apply_closures(data_centre_closures closures)
{
    if (closures.is_before(closures_))
        return false;
    // The store may have lost the closing of a data centre.
    if (!closures.era.is_settled)
        for (auto const& it : closures_.closed)
            if (!std::count(closures.closed.begin(), closures.closed.end(), it))
                closures.closed.push_back(it);
    bool const changed = closures.closed != closures_.closed;
    closures_ = std::move(closures);
    return changed;
}

} // namespace pomelohinge
