#ifndef POMELOHINGE_CORE_NAME_TABLE_HPP
#define POMELOHINGE_CORE_NAME_TABLE_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

/// Tables of names for enumerations. The one table of an enumeration serves
/// JSON, logs, metrics and the command line, in both directions.
namespace pomelohinge {

/// One row of a table of names.
template <class Enum>
struct name_row
{
    Enum value;
    std::string_view name;
};

/// The table of names of `Enum`. Each enumeration specialises it beside its
/// definition; rows stand in the order of the enumerators, which start at 0.
template <class Enum>
inline constexpr std::array<name_row<Enum>, 0> name_table{};

/// An enumeration that has a table of names.
template <class Enum>
concept NamedEnum = name_table<Enum>
.size() > 0;

/// Builds a table from rows; the size is deduced.
template <class Enum, std::size_t N>
constexpr std::array<name_row<Enum>, N> make_name_table(
    name_row<Enum> const (&rows)[N])
{
    std::array<name_row<Enum>, N> table{};
    for (std::size_t it = 0; it < N; ++it)
        table[it] = rows[it];
    return table;
}

/// The number of enumerators of `Enum`.
template <NamedEnum Enum>
inline constexpr std::size_t enum_count = name_table<Enum>.size();

/// The position of `value` in its table.
template <NamedEnum Enum>
constexpr std::size_t index_of(Enum value)
{
    return static_cast<std::size_t>(value);
}

/// The name of `value`; "invalid" for a value outside the enumeration.
template <NamedEnum Enum>
constexpr std::string_view to_name(Enum value)
{
    auto const n = index_of(value);
    return n < enum_count<Enum> ? name_table<Enum>[n].name : "invalid";
}

/// The value that `name` stands for, if it is in the table.
template <NamedEnum Enum>
constexpr std::optional<Enum> from_name(std::string_view name)
{
    for (auto const& it : name_table<Enum>)
        if (it.name == name)
            return it.value;
    return std::nullopt;
}

/// Whether the rows stand in the order of the enumerators. Each table is
/// checked by a static assertion beside it.
template <NamedEnum Enum>
constexpr bool is_ordered()
{
    for (std::size_t it = 0; it < enum_count<Enum>; ++it)
        if (index_of(name_table<Enum>[it].value) != it)
            return false;
    return true;
}

} // namespace pomelohinge

#endif
