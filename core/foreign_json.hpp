#ifndef POMELOHINGE_CORE_FOREIGN_JSON_HPP
#define POMELOHINGE_CORE_FOREIGN_JSON_HPP

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// A JSON text of another program, as far as it can be read.
struct foreign_json
{
    /// Discarded (`is_discarded()`) if the outermost value is not valid.
    nlohmann::json value;
    /// JSON pointers to the values that are not valid, in the order of the
    /// text. Each of them is an empty object in `value`, because a missing or
    /// null field may have a meaning.
    std::vector<std::string> invalid;
};

/// Parses a JSON text that another program has written. A string, number or
/// word that is not valid takes away only itself, any other syntax error the
/// innermost array or object around it. An array or object that is nested more
/// than `max_json_depth` levels deep becomes null, so that the recursive
/// operations on the result, such as a copy, need little stack.
foreign_json read_foreign_json(std::string_view text);

/// As `read_foreign_json`, but the result is discarded if any value is invalid.
nlohmann::json parse_foreign_json(std::string_view text);

} // namespace pomelohinge

#endif
