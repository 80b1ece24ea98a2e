#include "servers/limits/organisation_limits.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

/// Part of the rate that is divided evenly, so that a thread without demand
/// can begin to serve.
constexpr double even_part = 0.05;

/// Word from the others counts for so long. Then a thread keeps to an even
/// share.
constexpr duration word_patience = std::chrono::seconds(3);

/// A part that was not used for so long is forgotten.
constexpr duration idle_memory = std::chrono::seconds(60);

/// Demands below this are not reported, in requests a second.
constexpr double least_demand = 0.2;

} // namespace

double organisation_limits::share_of(
    part const& it, rate_object const& rate, time_point now) const
{
    auto const n = static_cast<double>(std::max<std::size_t>(entries_, 1));
    if (now - heard_at_ > word_patience)
        return std::min(it.share > 0 ? it.share : 1.0, 1.0 / n);
    auto const even = rate.requests_per_second * even_part;
    auto const own = it.demand.per_second(now);
    return (own + even / n) / (own + it.others.demand + even);
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
    auto const by_all = it.grants.count(now) + it.others.granted;
    auto const most = rate.requests_per_second * to_seconds(window) +
        static_cast<double>(rate.burst);
    charge_verdict verdict{false, {}, it.share, it.demand.per_second(now),
        it.others.demand, by_all};
    if (by_all + 1 > most + 1e-9) {
        verdict.retry_after = from_seconds(1 / rate.requests_per_second);
        return verdict;
    }
    verdict.granted = it.bucket.take(now);
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

void organisation_limits::others(text_map<organisation_report> const& reports,
    std::size_t entries, time_point now)
{
    entries_ = std::max<std::size_t>(entries, 1);
    heard_at_ = now;
    for (auto& [name, it] : parts_) {
        auto const other = reports.find(name);
        it.others =
            other == reports.end() ? organisation_report{} : other->second;
    }
    for (auto const& [name, report] : reports)
        parts_[name].others = report;
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
