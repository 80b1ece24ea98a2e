#include "servers/selection/cold_senders.hpp"

#include <algorithm>
#include <xxhash.h>

namespace pomelohinge {
namespace {

std::uint64_t rank_of(vm_id const& vm, target_id const& target)
{
    auto const seed = XXH64(target.text().data(), target.text().size(), 0);
    return XXH64(vm.text().data(), vm.text().size(), seed);
}

} // namespace

std::vector<vm_id> cold_senders(
    fleet_members const& members, target_record const& target)
{
    std::vector<std::pair<std::uint64_t, vm_id>> local;
    std::vector<std::pair<std::uint64_t, vm_id>> unheard;
    std::vector<std::pair<std::uint64_t, vm_id>> all;
    for (auto const& it : members) {
        if (!it.entry)
            continue;
        auto const& vm = it.record.vm;
        std::pair const ranked(rank_of(vm, target.id), vm);
        bool const is_local = it.record.data_centre == target.data_centre;
        if (it.alive)
            all.push_back(ranked);
        if (is_local)
            (it.alive ? local : unheard).push_back(ranked);
    }
    // Entries that this VM does not hear of may go on sending.
    auto& ranked = !local.empty() ? local : !unheard.empty() ? unheard : all;
    std::sort(ranked.begin(), ranked.end());
    std::vector<vm_id> senders;
    for (auto const& [rank, vm] : ranked)
        if (senders.size() < max_cold_senders)
            senders.push_back(vm);
    return senders;
}

} // namespace pomelohinge
