#ifndef POMELOHINGE_DRIVERS_PLATFORM_STORED_FORM_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_STORED_FORM_HPP

#include "config/configuration_text.hpp"
#include "drivers/platform/object_store.hpp"
#include "servers/membership/view.hpp"

#include <optional>
#include <string>
#include <vector>

/// Names and values of the objects that the system keeps in the platform.
namespace pomelohinge {

/// Where the parts of a large journal entry are.
struct split_reference
{
    std::uint64_t version = 0;
    std::string write_id;
    std::size_t parts = 0;
};

std::string journal_name(std::uint64_t version);
std::string part_name(std::string const& write_id, std::size_t part);
std::string view_name(data_centre_id const& data_centre);
bool is_journal(std::string_view name);
bool is_view(std::string_view name);

/// The entry in parts of a bounded size; one part if it is small.
std::vector<std::string> split_entry(journal_entry const& entry);

/// The journal's value for an entry that is kept in parts.
std::string encode_parts(journal_entry const& entry, std::size_t parts);

/// Reads `encode_parts`; empty if the value is an entry itself.
std::optional<split_reference> parts_of(std::string_view value);

/// The stored form of a view. `writer` tells two writers of the same epoch
/// apart.
std::string encode_view(
    data_centre_view const& view, std::string const& writer);
std::optional<data_centre_view> decode_view(
    std::string_view text, findings& found);

/// The epoch of a stored view; 0 if there is none.
std::uint64_t epoch_of(stored_object const& object);

} // namespace pomelohinge

#endif
