#ifndef POMELOHINGE_CONFIG_MERGE_HPP
#define POMELOHINGE_CONFIG_MERGE_HPP

#include "config/configuration.hpp"

#include <string>
#include <vector>

namespace pomelohinge {

/// An object that two operators changed in different ways since the same base
/// version.
struct merge_conflict
{
    object_kind kind;
    std::string name;
};

/// Result of a three-way merge.
struct merged_changes
{
    /// Changes to apply to the current configuration.
    std::vector<configuration_change> changes;
    std::vector<merge_conflict> conflicts;
};

/// Three-way merge: returns the changes from `base` to `desired` that are not
/// yet in `current`. Changes that others made since `base` are kept; an object
/// that `desired` and `current` change in different ways is a conflict.
merged_changes merge_configuration(configuration const& base,
    configuration const& desired, configuration const& current);

} // namespace pomelohinge

#endif
