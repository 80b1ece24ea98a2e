#include "servers/membership/hub_order.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace pomelohinge {
namespace {

std::uint64_t rank_hash(vm_id const& vm)
{
    return XXH64(vm.text().data(), vm.text().size(), 0);
}

} // namespace

std::vector<fleet_member const*> hub_order(
    fleet_members const& members, data_centre_id const& data_centre)
{
    std::vector<fleet_member const*> order;
    for (auto const& it : members)
        if (it.record.data_centre == data_centre)
            order.push_back(&it);
    auto const key = [](fleet_member const& it) {
        return std::tuple(it.record.standing == vm_standing::leaving,
            -it.record.cores, rank_hash(it.record.vm), it.record.vm);
    };
    std::sort(
        order.begin(), order.end(), [&](auto const* left, auto const* right) {
            return key(*left) < key(*right);
        });
    return order;
}

bool is_first_data_centre(
    fleet_members const& members, data_centre_id const& data_centre)
{
    return std::none_of(members.begin(), members.end(), [&](auto const& it) {
        return it.alive && it.record.data_centre < data_centre;
    });
}

bool is_likely_hub(fleet_members const& members,
    data_centre_id const& data_centre, vm_id const& vm)
{
    auto const order = hub_order(members, data_centre);
    auto const count = std::min(order.size(), likely_hub_count);
    return std::any_of(order.begin(),
        order.begin() + static_cast<std::ptrdiff_t>(count),
        [&](auto const* it) { return it->record.vm == vm; });
}

} // namespace pomelohinge
