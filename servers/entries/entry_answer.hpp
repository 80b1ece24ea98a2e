#ifndef POMELOHINGE_SERVERS_ENTRIES_ENTRY_ANSWER_HPP
#define POMELOHINGE_SERVERS_ENTRIES_ENTRY_ANSWER_HPP

#include "config/objects.hpp"
#include "servers/ownership/ownership.hpp"

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace pomelohinge {

/// Which addresses a caller should use, best first, and for how long.
struct entry_answer
{
    std::vector<std::string> addresses;
    std::chrono::seconds ttl{10};
};

/// Answers an organisation's caller: first the VMs that hold shares of its
/// rate, in an order drawn anew so that none is crowded, then further ones
/// that a caller can fall back to. VMs that leave are never named.
entry_answer answer_entries(ownership const& owners,
    organisation_id const& organisation, rate_object const& rate,
    std::mt19937_64& random);

} // namespace pomelohinge

#endif
