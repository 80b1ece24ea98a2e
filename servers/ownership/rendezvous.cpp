#include "servers/ownership/rendezvous.hpp"

#include <algorithm>
#include <xxhash.h>

namespace pomelohinge {
namespace {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

/// The weight of one VM for one key.
std::uint64_t weigh(std::uint64_t vm_hash, std::uint64_t key_hash)
{
    return XXH64(&key_hash, sizeof key_hash, vm_hash);
}

} // namespace

rendezvous::rendezvous(fleet_view const& view)
{
    for (auto const& it : view.vms()) {
        if (it.standing != vm_standing::serving)
            continue;
        seat const built{it, hash_text(it.vm.text(), 0)};
        all_.push_back(built);
        by_data_centre_[it.data_centre].push_back(built);
    }
}

std::vector<rendezvous::seat> const& rendezvous::seats(
    data_centre_id const* within) const
{
    if (within == nullptr)
        return all_;
    auto const it = by_data_centre_.find(*within);
    return it == by_data_centre_.end() ? all_ : it->second;
}

std::vector<vm_record const*> rendezvous::rank(owned_kind kind,
    std::string_view key, std::size_t count, data_centre_id const* within) const
{
    if (count == 1) {
        auto const* const first = owner(kind, key, within);
        return first == nullptr ? std::vector<vm_record const*>()
                                : std::vector<vm_record const*>{first};
    }
    auto const hash = hash_text(key, index_of(kind));
    std::vector<std::pair<std::uint64_t, vm_record const*>> ranked;
    for (auto const& it : seats(within))
        ranked.emplace_back(weigh(it.hash, hash), &it.record);
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
        ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
        [](auto const& left, auto const& right) {
            return left.first != right.first
                ? left.first > right.first
                : left.second->vm < right.second->vm;
        });
    std::vector<vm_record const*> best;
    for (std::size_t it = 0; it < count; ++it)
        best.push_back(ranked[it].second);
    return best;
}

bool rendezvous::is_ranked(vm_id const& vm, data_centre_id const& within) const
{
    auto const& ranked = seats(&within);
    return std::any_of(ranked.begin(), ranked.end(),
        [&](seat const& it) { return it.record.vm == vm; });
}

vm_record const* rendezvous::owner(
    owned_kind kind, std::string_view key, data_centre_id const* within) const
{
    auto const hash = hash_text(key, index_of(kind));
    seat const* best = nullptr;
    std::uint64_t highest = 0;
    for (auto const& it : seats(within)) {
        auto const weight = weigh(it.hash, hash);
        bool const better = best == nullptr || weight > highest ||
            (weight == highest && it.record.vm < best->record.vm);
        if (!better)
            continue;
        best = &it;
        highest = weight;
    }
    return best == nullptr ? nullptr : &best->record;
}

} // namespace pomelohinge
