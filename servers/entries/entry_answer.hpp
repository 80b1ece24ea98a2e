#ifndef POMELOHINGE_SERVERS_ENTRIES_ENTRY_ANSWER_HPP
#define POMELOHINGE_SERVERS_ENTRIES_ENTRY_ANSWER_HPP

#include "core/clock.hpp"
#include "servers/membership/vm_record.hpp"

#include <string>
#include <vector>

namespace pomelohinge {

/// Which addresses a caller should use, and for how long.
struct entry_answer
{
    std::vector<std::string> addresses;
    duration time_to_live{};
};

/// How long callers keep an answer at most.
inline constexpr duration entry_time_to_live = std::chrono::milliseconds(1000);

/// Answers a caller of `data_centre`: the entries there, or those of all
/// data centres if it has too few or is not known.
entry_answer answer_entries(
    fleet_members const& members, data_centre_id const& data_centre);

} // namespace pomelohinge

#endif
