#include "servers/poison/poison_guard.hpp"

#include <algorithm>
#include <xxhash.h>

namespace pomelohinge {
namespace {

/// Number of crashes from which on a request is held back. A single crash may
/// be unrelated to the requests that run on the target.
constexpr std::uint32_t min_crashes_to_hold = 2;

/// Time for which a request is held back after `min_crashes_to_hold` crashes.
/// It doubles with each further crash, up to the maximum.
constexpr duration initial_hold = std::chrono::minutes(1);
constexpr duration max_hold = std::chrono::hours(1);

/// A suspect is removed this long after the end of its hold, or after its last
/// crash if it is not held back: unrelated crashes that happen while a request
/// is repeated over a long time must not add up. Within this time after a
/// crash, another crash of the same target does not count.
constexpr duration suspect_expiry = std::chrono::seconds(30);

/// Bounds the memory for suspects: all are removed when there are this many.
constexpr std::size_t max_suspects = 4096;

/// Maximum number of suspects in one report.
constexpr std::size_t max_reported_suspects = 64;

duration hold_after(std::uint32_t crashes)
{
    if (crashes < min_crashes_to_hold)
        return duration::zero();
    duration hold = initial_hold;
    for (auto it = min_crashes_to_hold; it < crashes && hold < max_hold; ++it)
        hold *= 2;
    return std::min(hold, max_hold);
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
    auto const target_hash = hash_part(target, 0);
    remove_expired(now);
    auto& it = suspects_[request_fingerprint];
    if (it.crashes > 0 && it.last_target_hash == target_hash &&
        now - it.last_crash_at < suspect_expiry)
        return;
    ++it.crashes;
    it.last_target_hash = target_hash;
    it.last_crash_at = now;
}

void poison_guard::merge(poison_suspect const& suspect, time_point now)
{
    auto const last_crash_at = now - suspect.age;
    if (suspect.age > suspect_expiry + hold_after(suspect.crashes))
        return;
    auto& it = suspects_[suspect.request_fingerprint];
    // Crashes are not added up, because reports are repeated and may contain
    // crashes that are already counted here. As a consequence, two VMs that
    // have each recorded one crash merge them into one.
    it.crashes = std::max(it.crashes, suspect.crashes);
    it.last_crash_at = std::max(it.last_crash_at, last_crash_at);
}

duration poison_guard::remaining_hold(
    fingerprint request_fingerprint, time_point now) const
{
    auto const it = suspects_.find(request_fingerprint);
    if (it == suspects_.end())
        return duration::zero();
    auto const remaining =
        it->second.last_crash_at + hold_after(it->second.crashes) - now;
    return std::max(remaining, duration::zero());
}

std::vector<poison_suspect> poison_guard::suspects(time_point now) const
{
    std::vector<poison_suspect> reported;
    for (auto const& [request_fingerprint, it] : suspects_)
        reported.push_back(
            {request_fingerprint, it.crashes, now - it.last_crash_at});
    std::sort(reported.begin(), reported.end(),
        [](auto const& left, auto const& right) {
            return left.age < right.age;
        });
    if (reported.size() > max_reported_suspects)
        reported.resize(max_reported_suspects);
    return reported;
}

void poison_guard::remove_expired(time_point now)
{
    absl::erase_if(suspects_, [&](auto const& it) {
        return now - it.second.last_crash_at >
            suspect_expiry + hold_after(it.second.crashes);
    });
    if (suspects_.size() >= max_suspects)
        suspects_.clear();
}

} // namespace pomelohinge
