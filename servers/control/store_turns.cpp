#include "servers/control/store_turns.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace pomelohinge {
namespace {

/// Time between two turns over the whole fleet, which bounds the calls to a
/// store that does not answer to 20 per second.
constexpr duration turn_interval = std::chrono::milliseconds(50);
/// Minimum time between two turns of a VM, for small data centres.
constexpr duration min_turn_period = std::chrono::milliseconds(1000);
/// This many VMs of a data centre begin at once, so that a VM that has failed
/// along with the hubs does not delay a change.
constexpr std::size_t concurrent_first_turns = 2;
/// A VM that has heard from no other VM for this long counts as cut off.
constexpr duration contact_timeout = std::chrono::milliseconds(1500);
/// The first VMs whose turn it is notify the others within a tick and the delay
/// of a message. A VM that is cut off reads after this time, so that it has a
/// change within 2 s.
constexpr duration notice_timeout = std::chrono::milliseconds(150);
/// A VM whose last turn succeeded within this time comes first again.
constexpr duration success_memory = std::chrono::seconds(10);

std::uint64_t turn_hash(vm_id const& vm)
{
    // A seed other than that of the hub order.
    return XXH64(vm.text().data(), vm.text().size(), 1);
}

duration multiply(duration unit, std::size_t count)
{
    return unit * static_cast<duration::rep>(count);
}

} // namespace

fleet_members find_neighbours(
    fleet_members const& members, vm_record const& self, bool has_hub)
{
    fleet_members neighbours;
    for (auto const& it : members) {
        bool const is_gone = it.record.standing == vm_standing::leaving ||
            (has_hub && !it.alive);
        if (it.record.data_centre == self.data_centre &&
            (!is_gone || it.record.vm == self.vm))
            neighbours.push_back(it);
    }
    return neighbours;
}

turn_place find_turn_place(fleet_members const& members, vm_record const& self,
    std::size_t data_centres)
{
    using key = std::tuple<bool, std::uint64_t, vm_id>;
    std::vector<key> order;
    key own;
    auto const candidates = hub_order(members, self.data_centre);
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        auto const& vm = candidates[n]->record.vm;
        order.emplace_back(n < likely_hub_count, turn_hash(vm), vm);
        if (vm == self.vm)
            own = order.back();
    }
    auto const rank = std::count_if(
        order.begin(), order.end(), [&](auto const& it) { return it < own; });
    return {static_cast<std::size_t>(rank),
        std::max<std::size_t>(order.size(), 1),
        std::max<std::size_t>(data_centres, 1)};
}

bool store_turns::has_contact(time_point now) const
{
    return contact_at_ != time_point{} && now - contact_at_ < contact_timeout;
}

void store_turns::end()
{
    began_at_ = {};
    has_turn_ = false;
}

bool store_turns::note_outcome(read_outcome outcome, time_point now)
{
    bool const has_succeeded = has_turn_ && outcome == read_outcome::succeeded;
    if (has_succeeded)
        succeeded_at_ = now;
    return has_succeeded;
}

bool store_turns::must_read(
    turn_place const& place, read_outcome outcome, time_point now)
{
    auto const interval = multiply(turn_interval, place.data_centres);
    if (began_at_ == time_point{}) {
        began_at_ = now;
        bool const succeeded_recently = succeeded_at_ != time_point{} &&
            now - succeeded_at_ < success_memory;
        auto const before =
            succeeded_recently || place.rank < concurrent_first_turns
            ? 0
            : place.rank + 1 - concurrent_first_turns;
        next_turn_ = now + multiply(interval, before);
    } else if (has_turn_ && outcome == read_outcome::failed) {
        has_turn_ = false;
        succeeded_at_ = {};
        next_turn_ =
            now + std::max(multiply(interval, place.vms), min_turn_period);
    }
    has_turn_ = has_turn_ || now >= next_turn_;
    bool const is_cut_off =
        now - began_at_ >= notice_timeout && !has_contact(now);
    return has_turn_ || is_cut_off;
}

} // namespace pomelohinge
