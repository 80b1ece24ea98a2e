#include "servers/entries/entry_answer.hpp"

namespace pomelohinge {
namespace {

/// With fewer entries near, callers also get those of other data centres.
constexpr std::size_t enough_near_entries = 2;

/// Addresses in one answer.
constexpr std::size_t most_addresses = 64;

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
    auto const add = [&](bool near) {
        for (auto const& it : members)
            if (is_usable(it) &&
                (it.record.data_centre == data_centre) == near &&
                answer.addresses.size() < most_addresses)
                answer.addresses.push_back(it.record.callers_address);
    };
    add(true);
    if (answer.addresses.size() < enough_near_entries)
        add(false);
    return answer;
}

} // namespace pomelohinge
