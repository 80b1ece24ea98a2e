#include "servers/limits/organisation_shares.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace pomelohinge {
namespace {

/// A burst below this is kept in one share, where it can be used whole.
constexpr std::int64_t smallest_divided_burst = 8;

/// An owner is given about this rate before the shares get more.
constexpr double rate_per_share = 200;

constexpr std::size_t fewest_divided_shares = 2;
constexpr std::size_t most_shares = 8;

/// A bucket that was idle for so long is dropped once it is full.
constexpr duration idle_limit = std::chrono::seconds(60);

} // namespace

std::size_t share_count(rate_object const& rate)
{
    if (rate.burst < smallest_divided_burst)
        return 1;
    auto const wanted = static_cast<std::size_t>(
        std::ceil(rate.requests_per_second / rate_per_share));
    return std::clamp(wanted, fewest_divided_shares, most_shares);
}

bucket_rate share_of(rate_object const& rate)
{
    auto const count = static_cast<double>(share_count(rate));
    return {rate.requests_per_second / count,
        static_cast<double>(rate.burst) / count};
}

organisation_shares::held_share& organisation_shares::share(
    organisation_id const& organisation, rate_object const& rate,
    time_point owned_since, time_point now)
{
    auto const wanted = share_of(rate);
    auto it = shares_.find(organisation);
    // Others owned the share in between, so what was counted is void, and
    // nothing is gathered for the time in which this VM gave tokens itself.
    if (it != shares_.end() && owned_since > it->second.created_at) {
        owned_since = std::max(owned_since, it->second.charged_at);
        shares_.erase(it);
        it = shares_.end();
    }
    if (it == shares_.end()) {
        auto const begin = std::max(now, owned_since);
        auto const gathered = std::min(wanted.burst,
            to_seconds(begin - owned_since) * wanted.tokens_per_second);
        return shares_
            .emplace(organisation,
                held_share{wanted, token_bucket(wanted, gathered, begin), now,
                    0, gathered, begin, now})
            .first->second;
    }
    auto& held = it->second;
    if (!(held.rate == wanted)) {
        held.bucket.change_rate(wanted, now);
        held.rate = wanted;
        held.granted = 0;
        held.allowed_at_start = held.bucket.tokens(now);
        held.made_at = now;
    }
    return held;
}

charge_answer organisation_shares::charge(organisation_id const& organisation,
    rate_object const& rate, time_point owned_since, time_point now)
{
    auto& held = share(organisation, rate, owned_since, now);
    held.charged_at = now;
    if (!held.bucket.take(now))
        return {charge_verdict::exhausted, held.bucket.until_next(now)};
    held.granted += 1;
    constexpr double rounding = 1e-6;
    auto const allowed = held.allowed_at_start +
        to_seconds(now - held.made_at) * held.rate.tokens_per_second;
    assert_invariant(invariant::rate_never_exceeded,
        held.granted <= allowed * (1 + rounding) + rounding,
        organisation.text());
    return {charge_verdict::granted, {}};
}

double organisation_shares::give_up(
    organisation_id const& organisation, time_point now)
{
    auto const it = shares_.find(organisation);
    if (it == shares_.end())
        return 0;
    auto const held = it->second.bucket.drain(now);
    shares_.erase(it);
    return held;
}

void organisation_shares::take_over(share_transfer const& transfer,
    rate_object const& rate, time_point owned_since, time_point now)
{
    auto& held = share(transfer.organisation, rate, owned_since, now);
    held.bucket.add(transfer.tokens, now);
    held.allowed_at_start += transfer.tokens;
}

void organisation_shares::forget_idle(time_point now)
{
    absl::erase_if(shares_, [&](auto& it) {
        auto& held = it.second;
        return now - held.charged_at > idle_limit &&
            held.bucket.tokens(now) >= held.rate.burst;
    });
}

std::vector<organisation_id> organisation_shares::active() const
{
    std::vector<organisation_id> names;
    for (auto const& [name, held] : shares_)
        names.push_back(name);
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace pomelohinge
