#ifndef POMELOHINGE_DRIVERS_PLATFORM_OBJECT_ENCODING_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_OBJECT_ENCODING_HPP

#include "config/configuration_text.hpp"
#include "drivers/platform/object_store.hpp"
#include "servers/idempotency/record.hpp"
#include "servers/membership/vm_record.hpp"

#include <optional>
#include <string>
#include <vector>

/// Names and encoded values of the objects that the system stores in the
/// platform's object service.
namespace pomelohinge {

/// Refers to the parts of a large journal entry.
struct split_reference
{
    std::uint64_t version = 0;
    std::string write_id;
    /// Number of parts.
    std::size_t parts = 0;
};

/// Names of the objects that hold a journal entry, one part of an entry, a VM
/// and an idempotency record.
std::string journal_entry_name(std::uint64_t version);
std::string entry_part_name(std::string const& write_id, std::size_t part);
std::string vm_name(vm_id const& vm);
std::string record_name(idempotency_record const& record);

inline constexpr std::string_view journal_prefix = "config/journal/";
inline constexpr std::string_view vms_prefix = "vms/";

/// Encodes an entry in parts of a bounded size; a small entry has one part.
std::vector<std::string> split_entry(journal_entry const& entry);

/// Encodes the journal object of an entry that is stored in parts.
std::string encode_split_reference(
    journal_entry const& entry, std::size_t parts);

/// Decodes the result of `encode_split_reference`; `nullopt` if the value is an
/// entry itself.
std::optional<split_reference> decode_split_reference(std::string_view value);

/// Encodes and decodes a VM's object. Decoding adds the errors of the text to
/// `found` and returns `nullopt` if there are any.
std::string encode_vm(vm_record const& vm);
std::optional<vm_record> decode_vm(std::string_view text, findings& found);

/// Encodes and decodes an idempotency record; errors as for `decode_vm`.
std::string encode_record(idempotency_record const& record);
std::optional<idempotency_record> decode_record(
    std::string_view text, findings& found);

} // namespace pomelohinge

#endif
