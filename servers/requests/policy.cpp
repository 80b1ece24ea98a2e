#include "servers/requests/policy.hpp"

#include <algorithm>

namespace pomelohinge {

void configuration_index::note_divided_anew(
    configuration_index const& before, time_point now)
{
    for (auto const& [name, at] : before.divided_anew)
        if (now - at < ownership_memory)
            divided_anew.emplace(name, at);
    auto const& old = before.source.table<rate_object>();
    auto const& rates = source.table<rate_object>();
    if (&old == &rates)
        return;
    for (auto const& [name, rate] : rates) {
        auto const it = old.find(name);
        if (it != old.end() && share_count(it->second) != share_count(rate))
            divided_anew[name] = now;
    }
}

time_point share_since(policy const& in_force,
    organisation_id const& organisation, owned_key const& key, time_point now)
{
    auto const since = in_force.owners.owned_since(key, now);
    auto const& changed = in_force.index->divided_anew;
    auto const it = changed.find(organisation.text());
    if (it == changed.end())
        return since;
    return std::max(since, it->second + configuration_bound);
}

} // namespace pomelohinge
