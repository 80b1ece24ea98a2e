#include "servers/poison/poison_guard.hpp"

#include <algorithm>
#include <xxhash.h>

namespace pomelohinge {
namespace {

/// Lost targets from which on a request is held back. One loss happens to
/// any request whose target crashes.
constexpr std::uint32_t crashes_to_hold = 2;

/// How long a request is held back; it doubles with each further crash.
constexpr duration first_hold = std::chrono::minutes(1);
constexpr duration longest_hold = std::chrono::hours(1);

/// A suspect that has cost one target is forgotten after this time: random
/// losses of repeated requests must not add up.
constexpr duration memory = std::chrono::seconds(30);

/// More suspects than this are not remembered.
constexpr std::size_t most_suspects = 4096;

/// Suspects in one report.
constexpr std::size_t most_told = 64;

duration hold_after(std::uint32_t crashes)
{
    if (crashes < crashes_to_hold)
        return duration::zero();
    duration hold = first_hold;
    for (auto it = crashes_to_hold; it < crashes && hold < longest_hold; ++it)
        hold *= 2;
    return std::min(hold, longest_hold);
}

std::uint64_t hash_part(std::string_view text, std::uint64_t seed)
{
    auto const state = XXH64(text.data(), text.size(), seed);
    auto const size = text.size();
    return XXH64(&size, sizeof size, state);
}

} // namespace

fingerprint fingerprint_of(std::string_view organisation,
    std::string_view method, std::string_view path, std::string_view body)
{
    std::uint64_t state = 0;
    for (auto const it : {organisation, method, path, body})
        state = hash_part(it, state);
    return state;
}

void poison_guard::record_crash(
    fingerprint request_fingerprint, std::string_view target, time_point now)
{
    auto const name = hash_part(target, 0);
    remove_expired(now);
    auto& it = suspects_[request_fingerprint];
    if (it.crashes > 0 && it.last_target == name && now - it.at < memory)
        return;
    ++it.crashes;
    it.last_target = name;
    it.at = now;
}

void poison_guard::merge(poison_suspect const& suspect, time_point now)
{
    auto const at = now - suspect.age;
    if (suspect.age > memory + hold_after(suspect.crashes))
        return;
    auto& it = suspects_[suspect.request_fingerprint];
    // Two VMs may each have seen one crash.
    it.crashes = std::max(it.crashes, suspect.crashes);
    it.at = std::max(it.at, at);
}

duration poison_guard::remaining_hold(
    fingerprint request_fingerprint, time_point now) const
{
    auto const it = suspects_.find(request_fingerprint);
    if (it == suspects_.end())
        return duration::zero();
    auto const left = it->second.at + hold_after(it->second.crashes) - now;
    return std::max(left, duration::zero());
}

std::vector<poison_suspect> poison_guard::suspects(time_point now) const
{
    std::vector<poison_suspect> told;
    for (auto const& [request_fingerprint, it] : suspects_)
        told.push_back({request_fingerprint, it.crashes, now - it.at});
    std::sort(
        told.begin(), told.end(), [](auto const& left, auto const& right) {
            return left.age < right.age;
        });
    if (told.size() > most_told)
        told.resize(most_told);
    return told;
}

void poison_guard::remove_expired(time_point now)
{
    absl::erase_if(suspects_, [&](auto const& it) {
        return now - it.second.at > memory + hold_after(it.second.crashes);
    });
    if (suspects_.size() >= most_suspects)
        suspects_.clear();
}

} // namespace pomelohinge
