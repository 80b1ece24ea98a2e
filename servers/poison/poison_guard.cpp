#include "servers/poison/poison_guard.hpp"

#include <algorithm>
#include <xxhash.h>

namespace pomelohinge {
namespace {

/// A trial whose end is never told is taken as over after this time.
constexpr duration longest_trial = std::chrono::minutes(10);

/// How long a request is held back after its second crash; it doubles with
/// each further one.
constexpr duration first_hold = std::chrono::minutes(10);
constexpr duration longest_hold = std::chrono::hours(24);

/// A suspect that caused nothing for so long is forgotten.
constexpr duration memory = std::chrono::hours(24);

/// More suspects than this are not remembered; the oldest go first.
constexpr std::size_t most_suspects = 4096;

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

poison_verdict poison_guard::ask(fingerprint print, time_point now)
{
    auto const it = suspects_.find(print);
    if (it == suspects_.end())
        return poison_verdict::clear;
    auto& held = it->second;
    bool const busy = held.on_trial && now < held.trial_until;
    if (busy || now < held.held_until)
        return poison_verdict::held_back;
    held.on_trial = true;
    held.trial_until = now + longest_trial;
    return poison_verdict::trial;
}

void poison_guard::crashed(fingerprint print, time_point now)
{
    forget_old(now);
    auto& held = suspects_[print];
    ++held.crashes;
    held.on_trial = false;
    held.forget_at = now + memory;
    if (held.crashes < 2)
        return;
    auto hold = first_hold;
    for (std::size_t it = 2; it < held.crashes && hold < longest_hold; ++it)
        hold *= 2;
    held.held_until = now + std::min(hold, longest_hold);
}

void poison_guard::survived(fingerprint print)
{
    suspects_.erase(print);
}

void poison_guard::trial_unused(fingerprint print)
{
    auto const it = suspects_.find(print);
    if (it != suspects_.end())
        it->second.on_trial = false;
}

duration poison_guard::wait(fingerprint print, time_point now) const
{
    auto const it = suspects_.find(print);
    if (it == suspects_.end())
        return duration::zero();
    constexpr duration shortest_wait = std::chrono::seconds(1);
    return std::max(it->second.held_until - now, shortest_wait);
}

void poison_guard::forget_old(time_point now)
{
    if (suspects_.size() < most_suspects)
        return;
    absl::erase_if(
        suspects_, [&](auto const& it) { return it.second.forget_at <= now; });
    if (suspects_.size() < most_suspects)
        return;
    auto const oldest = std::min_element(suspects_.begin(), suspects_.end(),
        [](auto const& left, auto const& right) {
            return left.second.forget_at < right.second.forget_at;
        });
    suspects_.erase(oldest);
}

} // namespace pomelohinge
