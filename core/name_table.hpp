#ifndef POMELOHINGE_CORE_NAME_TABLE_HPP
#define POMELOHINGE_CORE_NAME_TABLE_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

/// Name tables for enumerations. Each enumeration has one table, which converts
/// values to names and back for JSON, logs, metrics and the command line.
namespace pomelohinge {

/// One row of a name table.
template <class Enum>
struct name_row
{
    Enum value;
    std::string_view name;
};

/// The name table of `Enum`, specialised next to the definition of each
/// enumeration. Rows are in the order of the enumerators, which must count up
/// from 0.
template <class Enum>
inline constexpr std::array<name_row<Enum>, 0> name_table{};

/// An enumeration that has a name table.
template <class Enum>
concept NamedEnum = name_table<Enum>
.size() > 0;

/// Builds a name table from rows; the size is deduced.
template <class Enum, std::size_t N>
constexpr std::array<name_row<Enum>, N> make_name_table(
    name_row<Enum> const (&rows)[N])
{
    std::array<name_row<Enum>, N> table{};
    for (std::size_t n = 0; n < N; ++n)
        table[n] = rows[n];
    return table;
}

/// Number of enumerators of `Enum`.
template <NamedEnum Enum>
inline constexpr std::size_t enum_count = name_table<Enum>.size();

/// Index of `value` in its name table.
template <NamedEnum Enum>
constexpr std::size_t index_of(Enum value)
{
    return static_cast<std::size_t>(value);
}

/// Returns the name of `value`, or "invalid" if it is not an enumerator.
template <NamedEnum Enum>
constexpr std::string_view to_name(Enum value)
{
    auto const n = index_of(value);
    return n < enum_count<Enum> ? name_table<Enum>[n].name : "invalid";
}

/// Returns the enumerator named `name`; empty if there is none.
template <NamedEnum Enum>
constexpr std::optional<Enum> from_name(std::string_view name)
{
    for (auto const& it : name_table<Enum>)
        if (it.name == name)
            return it.value;
    return std::nullopt;
}

/// Whether the rows are in the order of the enumerators. A static assertion
/// next to each table checks this.
template <NamedEnum Enum>
constexpr bool is_ordered()
{
    for (std::size_t n = 0; n < enum_count<Enum>; ++n)
        if (index_of(name_table<Enum>[n].value) != n)
            return false;
    return true;
}

} // namespace pomelohinge

#endif
