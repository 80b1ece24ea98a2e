#ifndef POMELOHINGE_SERVERS_ENTRIES_ENTRY_ANSWER_HPP
#define POMELOHINGE_SERVERS_ENTRIES_ENTRY_ANSWER_HPP

#include "core/clock.hpp"
#include "servers/membership/vm_record.hpp"

#include <string>
#include <vector>

namespace pomelohinge {

/// The addresses of entries for a caller, and how long the caller may use them.
struct entry_answer
{
    std::vector<std::string> addresses;
    duration time_to_live{};
};

/// How long a caller may cache an answer.
inline constexpr duration entry_time_to_live = std::chrono::milliseconds(1000);

/// Selects the entries for a caller in `data_centre`: those of its own data
/// centre, and also those of the others if its own has too few or is unknown.
entry_answer answer_entries(
    fleet_members const& members, data_centre_id const& data_centre);

} // namespace pomelohinge

#endif
