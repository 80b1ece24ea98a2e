#ifndef POMELOHINGE_CORE_TEXT_MAP_HPP
#define POMELOHINGE_CORE_TEXT_MAP_HPP

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <string>
#include <string_view>

namespace pomelohinge {

/// Hashes texts so that a map of strings can be searched by string views.
struct text_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

/// A hash map from texts. Abseil as Debian builds it has a string view of
/// its own, which the standard one does not convert to.
template <class Value>
using text_map =
    absl::flat_hash_map<std::string, Value, text_hash, std::equal_to<>>;

/// `text` as Abseil's functions take it.
inline absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace pomelohinge

#endif
