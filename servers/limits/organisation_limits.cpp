#include "servers/limits/organisation_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelohinge {
namespace {

/// Part of the rate that is divided evenly, so that a thread without demand
/// can begin to serve.
constexpr double even_part = 0.05;

/// Word from the others counts for so long. Then a thread keeps the share it
/// had when it last heard, and after a while an even share at most.
constexpr duration word_patience = std::chrono::seconds(1);
constexpr duration share_memory = std::chrono::seconds(3);

/// A thread that has just begun to hear from the others cannot tell yet what
/// all are asked for.
constexpr duration settling_time = std::chrono::milliseconds(500);

/// A demand within the rate is measured as higher at times: requests a second
/// scatter about as their number's square root.
constexpr double noise_factor = 1.5;

/// Part of the rate, over the window, that all together must stay below for
/// that. The rest is for what several threads let through at the same time.
constexpr double spare_part = 0.85;

/// A part that was not used for so long is forgotten.
constexpr duration idle_memory = std::chrono::seconds(60);

/// Demands below this are not reported, in requests a second.
constexpr double least_demand = 0.2;

} // namespace

double organisation_limits::share_of(
    part const& it, rate_object const& rate, time_point now) const
{
    auto const n = static_cast<double>(std::max<std::size_t>(entries_, 1));
    bool const never_heard = heard_at_ == time_point{};
    if (never_heard || now - heard_at_ > share_memory)
        return std::min(it.told_share > 0 ? it.told_share : 1.0, 1.0 / n);
    if (now - heard_at_ > word_patience)
        return it.told_share > 0 ? it.told_share : 1.0 / n;
    auto const even = rate.requests_per_second * even_part;
    auto const own = it.demand.per_second(now);
    auto const asked = (own + even / n) / (own + it.others.demand + even);
    if (now - first_heard_at_ < settling_time)
        return std::min(asked, 1 / n);
    // What silent threads are asked for may have grown like the rest, so
    // theirs of a rate that is used up is left to them.
    bool const used_up = own + it.others.demand > rate.requests_per_second;
    return !heard_all_ && used_up ? std::min(asked, it.whole_share) : asked;
}

bool organisation_limits::fleet_has_spare(part const& it,
    rate_object const& rate, double granted_by_all, time_point now) const
{
    bool const knows_all = heard_all_ && now - heard_at_ <= word_patience &&
        now - first_heard_at_ >= settling_time;
    auto const& per_second = rate.requests_per_second;
    auto const usual = per_second + noise_factor * std::sqrt(per_second);
    return knows_all && it.demand.per_second(now) + it.others.demand <= usual &&
        granted_by_all + 1 <= per_second * to_seconds(window) * spare_part;
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
    // A thread that has just started may follow one whose bucket was full.
    if (!std::exchange(it.filled, true))
        it.bucket = token_bucket(mine, 0, now);
    else
        it.bucket.change_rate(mine, now);
    auto const by_all = it.grants.count(now) + it.granted_elsewhere.at(now);
    auto const most = rate.requests_per_second * to_seconds(window) +
        static_cast<double>(rate.burst);
    charge_verdict verdict{false, {}, it.share, it.demand.per_second(now),
        it.others.demand, by_all};
    if (by_all + 1 > most + 1e-9) {
        verdict.retry_after = from_seconds(1 / rate.requests_per_second);
        return verdict;
    }
    verdict.granted =
        it.bucket.take(now) || fleet_has_spare(it, rate, by_all, now);
    if (verdict.granted)
        it.grants.add(now);
    else
        verdict.retry_after = it.bucket.until_next(now);
    return verdict;
}

void organisation_limits::refund(
    std::string const& organisation, time_point now)
{
    auto const it = parts_.find(organisation);
    if (it == parts_.end())
        return;
    it->second.bucket.add(1, now);
    it->second.grants.add(now, -1);
}

void organisation_limits::others(traffic_report const& told, time_point now)
{
    auto const& reports = told.organisations;
    entries_ = told.entries + 1;
    heard_at_ = now;
    if (first_heard_at_ == time_point{})
        first_heard_at_ = now;
    heard_all_ = !told.partial;
    for (auto& [name, it] : parts_) {
        auto const other = reports.find(name);
        it.others =
            other == reports.end() ? organisation_report{} : other->second;
        it.told_share = it.share;
        if (heard_all_)
            it.whole_share = it.share;
    }
    for (auto const& [name, report] : reports) {
        auto& it = parts_[name];
        it.others = report;
        it.granted_elsewhere.report(report.granted, now);
    }
}

void organisation_limits::expect_entries(std::size_t entries)
{
    if (heard_at_ == time_point{})
        entries_ = std::max<std::size_t>(entries, 1);
}

text_map<organisation_report> organisation_limits::make_report(time_point now)
{
    text_map<organisation_report> reports;
    for (auto& [name, it] : parts_) {
        organisation_report const report{
            it.demand.per_second(now), it.grants.count(now)};
        if (report.demand > least_demand || report.granted > 0)
            reports.emplace(name, report);
    }
    return reports;
}

void organisation_limits::forget_idle(time_point now)
{
    absl::erase_if(parts_, [&](auto const& it) {
        return it.second.others == organisation_report{} &&
            now - it.second.used_at > idle_memory;
    });
}

} // namespace pomelohinge
