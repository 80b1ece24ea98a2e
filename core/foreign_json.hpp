#ifndef POMELOHINGE_CORE_FOREIGN_JSON_HPP
#define POMELOHINGE_CORE_FOREIGN_JSON_HPP

#include <nlohmann/json.hpp>
#include <string_view>

namespace pomelohinge {

/// Parses a JSON text that another program has written. An array or object that
/// is nested more than `max_json_depth` levels deep becomes null, so that the
/// recursive operations on the result, such as a copy, need little stack. The
/// result is discarded (`is_discarded()`) if the syntax is not valid.
nlohmann::json parse_foreign_json(std::string_view text);

} // namespace pomelohinge

#endif
