#ifndef POMELOHINGE_CONFIG_CONFIGURATION_TEXT_HPP
#define POMELOHINGE_CONFIG_CONFIGURATION_TEXT_HPP

#include "config/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Text formats of configurations; docs/CONFIGURATION.md describes them.
namespace pomelohinge {

/// Parses and checks a complete configuration. All errors are added to `found`
/// with line and column; the result is empty if there are any.
std::optional<configuration> parse_configuration(
    std::string_view text, findings& found);

/// Returns the canonical text: kinds in a fixed order, names sorted, one object
/// per line. Parsing it gives an equal configuration.
std::string print_configuration(configuration const& configured);

/// Returns a human-readable list of `changes` to `before`: a line with `-` for
/// each object that is removed or replaced, and one with `+` for its new value.
std::string describe_changes(configuration const& before,
    std::vector<configuration_change> const& changes);

/// The changes of one committed write to the configuration. Versions count from
/// 1 without gaps; version 0 is the empty configuration.
struct journal_entry
{
    std::uint64_t version = 0;
    /// Identifies the write. A client that did not receive the answer can read
    /// the journal to determine whether the write was committed.
    std::string write_id;
    std::string operator_name;
    std::vector<configuration_change> changes;
};

/// Returns the stored form (JSON) of `entry`.
std::string encode_journal_entry(journal_entry const& entry);

/// Parses the stored form. Errors are added to `found`; the result is empty if
/// there are any.
std::optional<journal_entry> decode_journal_entry(
    std::string_view text, findings& found);

} // namespace pomelohinge

#endif
