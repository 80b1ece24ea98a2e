#include "config/merge.hpp"

namespace pomelohinge {

merged_changes merge_configuration(configuration const& base,
    configuration const& desired, configuration const& current)
{
    merged_changes merged;
    for (auto& it : difference(base, desired)) {
        auto const before = base.find_any(it.kind, it.name);
        auto const latest = current.find_any(it.kind, it.name);
        if (latest == it.object)
            continue;
        if (latest == before)
            merged.changes.push_back(std::move(it));
        else
            merged.conflicts.push_back({it.kind, it.name});
    }
    return merged;
}

} // namespace pomelohinge
