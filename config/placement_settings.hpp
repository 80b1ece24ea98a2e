#ifndef POMELOHINGE_CONFIG_PLACEMENT_SETTINGS_HPP
#define POMELOHINGE_CONFIG_PLACEMENT_SETTINGS_HPP

#include "core/name_table.hpp"

namespace pomelohinge {

/// How requests get targets and in which order queued ones do.
enum class placement_mode {
    /// A request goes to any target with a free slot that is not ejected, and
    /// waits only while there is none.
    earliest,
    /// A request waits for a trusted target while it is likely to be served in
    /// time.
    by_deadline,
};

template <>
inline constexpr auto
    name_table<placement_mode> = make_name_table<placement_mode>({
        {placement_mode::earliest, "earliest"},
        {placement_mode::by_deadline, "by_deadline"},
    });
static_assert(is_ordered<placement_mode>());

/// Settings under `placement`.
struct placement_settings
{
    placement_mode mode = placement_mode::earliest;
};

} // namespace pomelohinge

#endif
