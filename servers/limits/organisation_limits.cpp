#include "servers/limits/organisation_limits.hpp"

#include <algorithm>
#include <cmath>

namespace pomelohinge {
namespace {

/// Time over which a rate is averaged.
constexpr double averaging_seconds = 1.0;

/// Part of the rate that is divided evenly, so that a thread without demand
/// can begin to serve.
constexpr double even_part = 0.05;

/// Tokens that a bucket starts with over the whole fleet: less than what
/// limits allow beyond rate and burst, since the bucket before may have been
/// full.
constexpr double first_tokens = 10;

/// Word from the others counts for so long. Then a thread keeps to an even
/// share.
constexpr duration word_patience = std::chrono::seconds(3);

/// A part that was not used for so long is forgotten.
constexpr duration idle_memory = std::chrono::seconds(60);

/// Demands below this are not reported, in requests a second.
constexpr double least_demand = 0.2;

} // namespace

void rate_meter::add(time_point now, double events)
{
    value_ = per_second(now) + events / averaging_seconds;
    at_ = now;
}

double rate_meter::per_second(time_point now) const
{
    if (value_ == 0)
        return 0;
    return value_ * std::exp(-to_seconds(now - at_) / averaging_seconds);
}

double organisation_limits::share_of(
    part const& it, rate_object const& rate, time_point now) const
{
    auto const n = static_cast<double>(std::max<std::size_t>(entries_, 1));
    if (now - heard_at_ > word_patience)
        return std::min(it.share > 0 ? it.share : 1.0, 1.0 / n);
    auto const even = rate.requests_per_second * even_part;
    auto const own = it.demand.per_second(now);
    return (own + even / n) / (own + it.others + even);
}

charge_verdict organisation_limits::charge(
    std::string const& organisation, rate_object const& rate, time_point now)
{
    auto& it = parts_[organisation];
    it.demand.add(now);
    it.used_at = now;
    it.share = share_of(it, rate, now);
    // A share of the burst below one token would never let anybody through.
    bucket_rate const mine{rate.requests_per_second * it.share,
        std::max(1.0, static_cast<double>(rate.burst) * it.share)};
    if (!std::exchange(it.filled, true))
        it.bucket =
            token_bucket(mine, std::max(1.0, first_tokens * it.share), now);
    else
        it.bucket.change_rate(mine, now);
    bool const granted = it.bucket.take(now);
    return {granted, granted ? duration::zero() : it.bucket.until_next(now),
        it.share, it.demand.per_second(now), it.others};
}

void organisation_limits::refund(
    std::string const& organisation, time_point now)
{
    auto const it = parts_.find(organisation);
    if (it != parts_.end())
        it->second.bucket.add(1, now);
}

void organisation_limits::others(
    text_map<double> const& rates, std::size_t entries, time_point now)
{
    entries_ = std::max<std::size_t>(entries, 1);
    heard_at_ = now;
    for (auto& [name, it] : parts_) {
        auto const other = rates.find(name);
        it.others = other == rates.end() ? 0 : other->second;
    }
    for (auto const& [name, rate] : rates)
        parts_[name].others = rate;
}

void organisation_limits::expect_entries(std::size_t entries)
{
    if (heard_at_ == time_point{})
        entries_ = std::max<std::size_t>(entries, 1);
}

text_map<double> organisation_limits::demands(time_point now) const
{
    text_map<double> rates;
    for (auto const& [name, it] : parts_)
        if (auto const rate = it.demand.per_second(now); rate > least_demand)
            rates.emplace(name, rate);
    return rates;
}

void organisation_limits::forget_idle(time_point now)
{
    absl::erase_if(parts_, [&](auto const& it) {
        return it.second.others == 0 && now - it.second.used_at > idle_memory;
    });
}

} // namespace pomelohinge
