#ifndef POMELOHINGE_CONFIG_CONFIGURATION_TEXT_HPP
#define POMELOHINGE_CONFIG_CONFIGURATION_TEXT_HPP

#include "config/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The text forms of configurations, described in docs/CONFIGURATION.md.
namespace pomelohinge {

/// Reads a whole configuration and checks it. All problems are added to
/// `found` with line and column; the result is empty if there was any.
std::optional<configuration> parse_configuration(
    std::string_view text, findings& found);

/// The canonical text: kinds in a fixed order, names sorted, one object a
/// line. Parsing it gives an equal configuration.
std::string print_configuration(configuration const& printed);

/// One line for each change, for people.
std::string describe_changes(configuration const& before,
    std::vector<configuration_change> const& changes);

/// One accepted step of the configuration. Versions count from 1 without
/// gaps; version 0 is the empty configuration.
struct journal_entry
{
    std::uint64_t version = 0;
    /// Names the write, so that a lost answer can be read back.
    std::string write_id;
    std::string operator_name;
    std::vector<configuration_change> changes;
};

/// The stored form of an entry.
std::string encode_journal_entry(journal_entry const& entry);

/// Reads the stored form; problems are added to `found`.
std::optional<journal_entry> decode_journal_entry(
    std::string_view text, findings& found);

} // namespace pomelohinge

#endif
