#ifndef POMELOHINGE_CORE_TEXT_MAP_HPP
#define POMELOHINGE_CORE_TEXT_MAP_HPP

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <string>
#include <string_view>

namespace pomelohinge {

/// Transparent hash, so that a map of strings can be searched by string view.
struct text_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

/// A hash map with string keys. It has a hash of its own, because Abseil as
/// built by Debian uses its own string view type, to which `std::string_view`
/// does not convert.
template <class Value>
using text_map =
    absl::flat_hash_map<std::string, Value, text_hash, std::equal_to<>>;

/// Converts `text` to Abseil's string view type.
inline absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace pomelohinge

#endif
