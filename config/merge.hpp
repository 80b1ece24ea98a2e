#ifndef POMELOHINGE_CONFIG_MERGE_HPP
#define POMELOHINGE_CONFIG_MERGE_HPP

#include "config/configuration.hpp"

#include <string>
#include <vector>

namespace pomelohinge {

/// An object that an operator and another one have changed in different
/// ways since the same version.
struct merge_conflict
{
    object_kind kind;
    std::string name;
};

/// Changes brought onto a later configuration.
struct merged_changes
{
    std::vector<configuration_change> changes;
    std::vector<merge_conflict> conflicts;
};

/// What `wanted`, reviewed against `base`, changes in `current`. Changes of
/// others since `base` stay, unless the same object was changed in another
/// way, which is a conflict.
merged_changes merge_configuration(configuration const& base,
    configuration const& wanted, configuration const& current);

} // namespace pomelohinge

#endif
