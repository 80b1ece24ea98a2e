#include "servers/entries/entry_answer.hpp"

#include "servers/limits/organisation_shares.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Addresses behind those of the share owners.
constexpr std::size_t fallback_addresses = 2;

} // namespace

entry_answer answer_entries(ownership const& owners,
    organisation_id const& organisation, rate_object const& rate,
    std::mt19937_64& random)
{
    auto const shares = share_count(rate);
    owned_key const key{owned_kind::organisation, organisation.text(), nullptr,
        shares + fallback_addresses};
    auto ranked = owners.owners(key);
    auto const preferred =
        static_cast<std::ptrdiff_t>(std::min(shares, ranked.size()));
    std::shuffle(ranked.begin(), ranked.begin() + preferred, random);
    entry_answer answer;
    for (auto const* it : ranked)
        answer.addresses.push_back(it->callers_address);
    return answer;
}

} // namespace pomelohinge
