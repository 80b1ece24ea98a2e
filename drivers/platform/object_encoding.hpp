#ifndef POMELOHINGE_DRIVERS_PLATFORM_OBJECT_ENCODING_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_OBJECT_ENCODING_HPP

#include "config/configuration_text.hpp"
#include "drivers/platform/object_store.hpp"
#include "servers/idempotency/record.hpp"
#include "servers/membership/vm_record.hpp"

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
std::string vm_name(vm_id const& vm);
std::string record_name(idempotency_record const& record);

inline constexpr std::string_view journal_prefix = "config/journal/";
inline constexpr std::string_view vms_prefix = "vms/";

/// The entry in parts of a bounded size; one part if it is small.
std::vector<std::string> split_entry(journal_entry const& entry);

/// The journal's value for an entry that is kept in parts.
std::string encode_parts(journal_entry const& entry, std::size_t parts);

/// Reads `encode_parts`; empty if the value is an entry itself.
std::optional<split_reference> parts_of(std::string_view value);

/// The stored form of a VM.
std::string encode_vm(vm_record const& vm);
std::optional<vm_record> decode_vm(std::string_view text, findings& found);

/// The stored form of an idempotency record.
std::string encode_record(idempotency_record const& record);
std::optional<idempotency_record> decode_record(
    std::string_view text, findings& found);

} // namespace pomelohinge

#endif
