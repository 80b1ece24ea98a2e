#ifndef POMELOHINGE_DRIVERS_PEERS_WIRE_VALUES_HPP
#define POMELOHINGE_DRIVERS_PEERS_WIRE_VALUES_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

/// Conversion of single values to and from the messages on the wire.
namespace pomelohinge {

inline std::int64_t to_microseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

/// Longer times of another VM are cut, so that sums with a time point cannot
/// overflow.
inline constexpr std::int64_t max_microseconds =
    std::chrono::microseconds(std::chrono::hours(24 * 365)).count();

inline duration from_microseconds(std::int64_t value)
{
    return std::chrono::microseconds(
        std::clamp<std::int64_t>(value, 0, max_microseconds));
}

/// Decodes a quantity, which is finite and not negative. Sums and sorts depend
/// on that.
inline double quantity_from_wire(double value)
{
    return std::isfinite(value) ? std::max(value, 0.0) : 0.0;
}

/// Encodes an age in microseconds; -1 stands for `duration::max()`, the age of
/// something that has never happened.
inline std::int64_t age_to_wire(duration age)
{
    return age == duration::max() ? -1 : to_microseconds(age);
}

inline duration age_from_wire(std::int64_t value)
{
    return value < 0 ? duration::max() : from_microseconds(value);
}

/// Encodes an enumerator as its index in its name table.
template <NamedEnum Enum>
std::uint32_t enum_to_wire(Enum value)
{
    return static_cast<std::uint32_t>(index_of(value));
}

/// Decodes an enumerator; `fallback` if the table has no such index.
template <NamedEnum Enum>
Enum enum_from_wire(std::uint32_t index, Enum fallback)
{
    return index < enum_count<Enum> ? static_cast<Enum>(index) : fallback;
}

} // namespace pomelohinge

#endif
