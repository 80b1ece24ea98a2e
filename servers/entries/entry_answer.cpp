#include "servers/entries/entry_answer.hpp"

namespace pomelohinge {
namespace {

/// With fewer local entries, callers also get those of other data centres.
constexpr std::size_t min_local_entries = 2;

/// Limit on the addresses in one answer.
constexpr std::size_t max_addresses = 64;

bool is_usable(fleet_member const& it)
{
    return it.alive && it.entry && it.record.standing == vm_standing::serving;
}

} // namespace

entry_answer answer_entries(
    fleet_members const& members, data_centre_id const& data_centre)
{
    entry_answer answer;
    answer.time_to_live = entry_time_to_live;
    auto const add = [&](bool is_local) {
        for (auto const& it : members)
            if (is_usable(it) &&
                (it.record.data_centre == data_centre) == is_local &&
                answer.addresses.size() < max_addresses)
                answer.addresses.push_back(it.record.callers_address);
    };
    add(true);
    if (answer.addresses.size() < min_local_entries)
        add(false);
    return answer;
}

} // namespace pomelohinge
