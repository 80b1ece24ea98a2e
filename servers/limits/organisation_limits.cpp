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
/// all are asked for; less so while it has not heard of most of them. Some
/// may take no requests, so this is not waited for longer than a hub needs to
/// hear from its VMs and from other hubs.
constexpr duration settling_time = std::chrono::milliseconds(500);
constexpr duration longest_settling_time = std::chrono::seconds(3);
constexpr double most_entries = 0.7;

/// Part of its share that a thread uses of a rate that is used up while it
/// does not know what was let through in the window before it began.
constexpr double young_part = 0.5;

/// What the others are asked for does not fall faster than this, since a new
/// hub hears of them one after the other.
constexpr duration demand_memory = std::chrono::milliseconds(500);

/// Longer than it takes to notice that an entry has fallen silent. Shares that
/// are older were made while it was heard.
constexpr duration silence_notice = std::chrono::milliseconds(1500);

/// A demand within the rate is measured as higher at times: requests a second
/// scatter about as their number's square root.
constexpr double noise_factor = 1.5;

/// Part of the rate, over the window, that all together must stay below for
/// that. The rest is for what several threads let through at the same time.
constexpr double spare_part = 0.85;

/// Part of the burst that is spread over the window. The rest is for what
/// several threads let through at the same time.
constexpr double spread_part = 0.5;

/// Word comes several times within this while nothing is wrong. Only then is
/// the burst spread.
constexpr duration spread_patience = std::chrono::milliseconds(500);

/// A part that was not used for so long is forgotten.
constexpr duration idle_memory = std::chrono::seconds(60);

/// Demands below this are not reported, in requests a second.
constexpr double least_demand = 0.2;

grant_counts count_grants(window_counter& grants, time_point now)
{
    grant_counts counts;
    counts.within_window = grants.count(now);
    for (std::size_t n = 0; n < counts.within_steps.size(); ++n)
        counts.within_steps[n] =
            grants.count_last(static_cast<int>(n + 1) * grant_step, now);
    return counts;
}

} // namespace

double organisation_limits::share_of(
    part const& it, rate_object const& rate, time_point now) const
{
    auto const known =
        has_settled(now) ? entries_ : std::max(entries_, listed_);
    auto const n = static_cast<double>(std::max<std::size_t>(known, 1));
    bool const never_heard = heard_at_ == time_point{};
    if (never_heard || now - heard_at_ > share_memory)
        return std::min(it.told_share > 0 ? it.told_share : 1.0, 1.0 / n);
    if (now - heard_at_ > word_patience)
        return it.told_share > 0 ? it.told_share : 1.0 / n;
    auto const even = rate.requests_per_second * even_part;
    auto const own = it.demand.per_second(now);
    auto const asked = (own + even / n) / (own + it.others.demand + even);
    if (!has_settled(now))
        return std::min(asked, 1 / n);
    if (own + it.others.demand <= rate.requests_per_second)
        return asked;
    auto const counted = now - first_heard_at_ >= window ? 1 : young_part;
    if (heard_all_)
        return asked * counted;
    // What silent threads are asked for may have grown like the rest, so
    // theirs of a rate that is used up is left to them.
    auto const before = it.whole_share > 0 ? it.whole_share : 1 / n;
    return std::min(asked, before) * counted;
}

bool organisation_limits::has_all_reports(time_point now) const
{
    return heard_all_ && now - heard_at_ <= word_patience && has_settled(now);
}

bucket_rate organisation_limits::own_rate(
    part const& it, rate_object const& rate, time_point now) const
{
    auto const burst = static_cast<double>(rate.burst);
    bool const in_time =
        has_all_reports(now) && now - heard_at_ <= spread_patience;
    auto const spread = in_time ? burst * spread_part / to_seconds(window) : 0;
    // A share of the burst below one token would never let anybody through.
    return {(rate.requests_per_second + spread) * it.share,
        std::max(1.0, burst * it.share)};
}

/// While all VMs start anew, callers are served from even shares of the burst.
/// Later what the others let through decides.
double organisation_limits::first_tokens(
    rate_object const& rate, time_point now) const
{
    if (has_settled(now))
        return 0;
    auto const n = static_cast<double>(std::max(entries_, listed_));
    return static_cast<double>(rate.burst) / n;
}

bool organisation_limits::fleet_has_spare(part const& it,
    rate_object const& rate, double granted_by_all, time_point now) const
{
    auto const& per_second = rate.requests_per_second;
    auto const usual = per_second + noise_factor * std::sqrt(per_second);
    return has_all_reports(now) &&
        it.demand.per_second(now) + it.others.demand <= usual &&
        granted_by_all + 1 <= per_second * to_seconds(window) * spare_part;
}

double organisation_limits::granted_unheard(
    part const& it, rate_object const& rate, time_point now) const
{
    if (heard_at_ == time_point{})
        return 0;
    auto const left = rate.requests_per_second * (1 - it.share);
    bool const used_up =
        it.demand.per_second(now) + it.others.demand > rate.requests_per_second;
    auto const per_second = used_up ? left : std::min(it.others.demand, left);
    return per_second * to_seconds(std::min(now - heard_at_, window));
}

charge_verdict organisation_limits::charge(
    std::string const& organisation, rate_object const& rate, time_point now)
{
    auto& it = parts_[organisation];
    it.demand.add(now);
    it.used_at = now;
    it.share = share_of(it, rate, now);
    auto const mine = own_rate(it, rate, now);
    if (!std::exchange(it.filled, true))
        it.bucket = token_bucket(mine, first_tokens(rate, now), now);
    else
        it.bucket.change_rate(mine, now);
    auto const by_all = it.grants.count(now) + it.granted_elsewhere.at(now) +
        granted_unheard(it, rate, now);
    auto const most = rate.requests_per_second * to_seconds(window) +
        static_cast<double>(rate.burst);
    charge_verdict verdict{false, {}, it.share, it.demand.per_second(now),
        it.others.demand, by_all, has_all_reports(now), now - heard_at_};
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

void organisation_limits::apply_report(
    traffic_report const& told, time_point now)
{
    auto const& reports = told.organisations;
    entries_ = told.entries + 1;
    auto const before = std::exchange(heard_at_, now);
    if (first_heard_at_ == time_point{})
        first_heard_at_ = now;
    heard_all_ = !told.partial;
    auto const faded =
        std::exp(-to_seconds(now - before) / to_seconds(demand_memory));
    for (auto& [name, it] : parts_) {
        it.told_share = it.share;
        it.others = {it.others.demand * faded, 0};
        if (it.others.demand < least_demand)
            it.others.demand = 0;
    }
    for (auto const& [name, report] : reports) {
        auto& it = parts_[name];
        it.others.demand = std::max(it.others.demand, report.demand);
        it.others.granted = report.granted;
        auto counts = report.grants;
        counts.within_window = report.granted;
        it.granted_elsewhere.report(counts, now);
    }
    if (heard_all_ && now - shares_kept_at_ >= silence_notice)
        remember_shares(now);
}

void organisation_limits::remember_shares(time_point now)
{
    shares_kept_at_ = now;
    for (auto& [name, it] : parts_)
        it.whole_share = std::exchange(it.next_whole_share, it.share);
}

bool organisation_limits::has_settled(time_point now) const
{
    auto const heard_for = now - first_heard_at_;
    if (first_heard_at_ == time_point{} || heard_for < settling_time)
        return false;
    return heard_for >= longest_settling_time ||
        static_cast<double>(entries_) >=
        most_entries * static_cast<double>(listed_);
}

void organisation_limits::set_listed_entries(std::size_t entries)
{
    listed_ = std::max<std::size_t>(entries, 1);
}

text_map<organisation_report> organisation_limits::make_report(time_point now)
{
    text_map<organisation_report> reports;
    for (auto& [name, it] : parts_) {
        auto const grants = count_grants(it.grants, now);
        organisation_report const report{
            it.demand.per_second(now), grants.within_window, grants};
        if (report.demand > least_demand || report.granted > 0)
            reports.emplace(name, report);
    }
    return reports;
}

void organisation_limits::remove_idle(time_point now)
{
    absl::erase_if(parts_, [&](auto const& it) {
        return it.second.others == organisation_report{} &&
            now - it.second.used_at > idle_memory;
    });
}

} // namespace pomelohinge
