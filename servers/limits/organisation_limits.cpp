#include "servers/limits/organisation_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelohinge {
namespace {

/// Part of the rate that is divided evenly among the entries, so that a thread
/// without demand can grant its first requests.
constexpr double evenly_divided_part = 0.05;

/// Once the latest report is older than `max_report_age`, the thread keeps the
/// share that it had at that report. After `max_share_age` the share is at
/// most an even one.
constexpr duration max_report_age = std::chrono::seconds(1);
constexpr duration max_share_age = std::chrono::seconds(3);

/// The first reports do not cover the demand of the whole fleet, in particular
/// while most listed entries are missing from them. So the share is at most an
/// even one for `min_settling_time`, and then until the reports cover
/// `min_reported_part` of the listed entries. Entries without requests are
/// missing from reports, so `max_settling_time` limits this to the time that
/// a hub needs to receive the reports of its VMs and of other hubs.
constexpr duration min_settling_time = std::chrono::milliseconds(500);
constexpr duration max_settling_time = std::chrono::seconds(3);
constexpr double min_reported_part = 0.7;

/// Part of its share that a thread uses of an exhausted rate during its first
/// window, because the grants in the window before its start are unknown.
constexpr double first_window_part = 0.5;

/// Time constant with which the demand elsewhere decays when reports show
/// less. A new hub receives the reports of its VMs one after the other, so
/// that its first reports are too low.
constexpr duration demand_decay_time = std::chrono::milliseconds(500);

/// Longer than the time after which a missing report of an entry is detected.
/// Shares older than this were computed while the entry still reported.
constexpr duration missing_report_detection_time =
    std::chrono::milliseconds(1500);

/// Requests per second fluctuate by about the square root of their number, so
/// that a demand within the rate is sometimes measured as above it. This is
/// the tolerance as a multiple of the square root.
constexpr double noise_factor = 1.5;

/// Part of the rate, over the window, that the grants of all threads must
/// stay below for a grant without a token. The rest is left for simultaneous
/// grants of several threads.
constexpr double spare_rate_part = 0.85;

/// Part of the burst that is spread over the window. The rest is left for
/// simultaneous grants of several threads.
constexpr double spread_burst_part = 0.5;

/// The burst is spread only while the latest report is not older than this.
/// In normal operation several reports are received in this time.
constexpr duration max_spread_report_age = std::chrono::milliseconds(500);

/// Part of what a window allows that all threads together may grant at once
/// after a restart of all VMs, when the grants before it are unknown.
constexpr double initial_part = 0.075;

/// An organisation is removed if it was not used for this time.
constexpr duration idle_timeout = std::chrono::seconds(60);

/// Demands below this are not reported, in requests per second.
constexpr double min_reported_demand = 0.2;

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

double organisation_limits::compute_share(
    organisation_state const& it, rate_object const& rate, time_point now) const
{
    auto const n = count_granting_vms(now);
    bool const has_no_report = last_report_at_ == time_point{};
    if (has_no_report || now - last_report_at_ > max_share_age)
        return std::min(
            it.share_at_report > 0 ? it.share_at_report : 1.0, 1.0 / n);
    if (now - last_report_at_ > max_report_age)
        return it.share_at_report > 0 ? it.share_at_report : 1.0 / n;
    auto const even = rate.requests_per_second * evenly_divided_part;
    auto const own = it.demand.per_second(now);
    auto const by_demand =
        (own + even / n) / (own + it.elsewhere.demand + even);
    if (!has_settled(now) || (is_new(now) && !last_report_is_complete_))
        return std::min(by_demand, 1 / n);
    if (own + it.elsewhere.demand <= rate.requests_per_second)
        return by_demand;
    auto const used_part = is_new(now) ? first_window_part : 1;
    if (last_report_is_complete_)
        return by_demand * used_part;
    // The demand at VMs without a recent report may have grown as much as at
    // the others. Their shares of an exhausted rate are left to them, so this
    // share does not rise above the one at a complete report.
    auto const before = it.complete_share > 0 ? it.complete_share : 1 / n;
    return std::min(by_demand, before) * used_part;
}

double organisation_limits::count_granting_vms(time_point now) const
{
    bool const is_known =
        has_settled(now) && (last_report_is_complete_ || !is_new(now));
    auto const n =
        is_known ? reported_entries_ : std::max(reported_entries_, listed_vms_);
    return static_cast<double>(std::max<std::size_t>(n, 1));
}

bool organisation_limits::has_all_reports(time_point now) const
{
    return last_report_is_complete_ &&
        now - last_report_at_ <= max_report_age && has_settled(now);
}

bucket_rate organisation_limits::rate_of_share(
    organisation_state const& it, rate_object const& rate, time_point now) const
{
    auto const burst = static_cast<double>(rate.burst);
    bool const is_spread = has_all_reports(now) &&
        now - last_report_at_ <= max_spread_report_age && !is_new(now);
    auto const spread =
        is_spread ? burst * spread_burst_part / to_seconds(window) : 0;
    // A bucket that holds less than one token would never grant a request.
    return {(rate.requests_per_second + spread) * it.share,
        std::max(1.0, burst * it.share)};
}

/// Until reports have settled, for example after a restart of all VMs, each
/// thread starts with an even share of the burst. Later a new bucket starts
/// empty, because the others may have used the burst already.
double organisation_limits::initial_tokens(
    rate_object const& rate, time_point now) const
{
    if (has_settled(now))
        return 0;
    auto const max_granted = rate.requests_per_second * to_seconds(window) +
        static_cast<double>(rate.burst);
    return std::min(
               static_cast<double>(rate.burst), max_granted * initial_part) /
        count_granting_vms(now);
}

bool organisation_limits::has_spare_rate(organisation_state const& it,
    rate_object const& rate, double granted_by_all, time_point now) const
{
    auto const& per_second = rate.requests_per_second;
    auto const max_demand = per_second + noise_factor * std::sqrt(per_second);
    auto const known =
        to_seconds(std::min<duration>(now - first_report_at_, window));
    return has_all_reports(now) &&
        it.demand.per_second(now) + it.elsewhere.demand <= max_demand &&
        granted_by_all + 1 <= per_second * known * spare_rate_part;
}

double organisation_limits::estimate_unreported_grants(
    organisation_state const& it, rate_object const& rate, time_point now) const
{
    if (last_report_at_ == time_point{})
        return 0;
    auto const remaining = rate.requests_per_second * (1 - it.share);
    bool const is_exhausted = it.demand.per_second(now) + it.elsewhere.demand >
        rate.requests_per_second;
    auto const per_second =
        is_exhausted ? remaining : std::min(it.elsewhere.demand, remaining);
    return per_second * to_seconds(std::min(now - last_report_at_, window));
}

charge_verdict organisation_limits::charge(
    std::string const& organisation, rate_object const& rate, time_point now)
{
    auto& it = organisations_[organisation];
    it.demand.add(now);
    it.last_used_at = now;
    it.share = compute_share(it, rate, now);
    auto const share_rate = rate_of_share(it, rate, now);
    if (!std::exchange(it.has_bucket, true))
        it.bucket = token_bucket(share_rate, initial_tokens(rate, now), now);
    else
        it.bucket.change_rate(share_rate, now);
    auto const granted_by_all = it.grants.count(now) +
        it.granted_elsewhere.at(now) +
        estimate_unreported_grants(it, rate, now);
    auto const max_granted = rate.requests_per_second * to_seconds(window) +
        static_cast<double>(rate.burst);
    charge_verdict verdict{false, {}, it.share, it.demand.per_second(now),
        it.elsewhere.demand, granted_by_all, has_all_reports(now),
        now - last_report_at_};
    if (granted_by_all + 1 > max_granted + 1e-9) {
        verdict.retry_after = from_seconds(1 / rate.requests_per_second);
        return verdict;
    }
    verdict.granted =
        it.bucket.take(now) || has_spare_rate(it, rate, granted_by_all, now);
    if (verdict.granted)
        it.grants.add(now);
    else
        verdict.retry_after = it.bucket.until_next(now);
    return verdict;
}

void organisation_limits::refund(
    std::string const& organisation, time_point granted_at, time_point now)
{
    auto const it = organisations_.find(organisation);
    if (it == organisations_.end())
        return;
    it->second.bucket.add(1, now);
    it->second.grants.take_back(granted_at);
}

void organisation_limits::apply_report(
    traffic_report const& report, time_point now)
{
    auto const& organisations = report.organisations;
    reported_entries_ = report.entries + 1;
    auto const before = std::exchange(last_report_at_, now);
    if (first_report_at_ == time_point{})
        first_report_at_ = now;
    last_report_is_complete_ = !report.partial;
    auto const decay =
        std::exp(-to_seconds(now - before) / to_seconds(demand_decay_time));
    for (auto& [name, it] : organisations_) {
        it.share_at_report = it.share;
        it.elsewhere = {it.elsewhere.demand * decay, 0};
        if (it.elsewhere.demand < min_reported_demand)
            it.elsewhere.demand = 0;
    }
    for (auto const& [name, reported] : organisations) {
        auto& it = organisations_[name];
        it.elsewhere.demand = std::max(it.elsewhere.demand, reported.demand);
        it.elsewhere.granted = reported.granted;
        auto counts = reported.grants;
        counts.within_window = reported.granted;
        it.granted_elsewhere.report(counts, now);
    }
    if (last_report_is_complete_ &&
        now - shares_saved_at_ >= missing_report_detection_time)
        save_complete_shares(now);
}

void organisation_limits::save_complete_shares(time_point now)
{
    shares_saved_at_ = now;
    for (auto& [name, it] : organisations_)
        it.complete_share = std::exchange(it.next_complete_share, it.share);
}

bool organisation_limits::has_settled(time_point now) const
{
    auto const reporting_time = now - first_report_at_;
    if (first_report_at_ == time_point{} || reporting_time < min_settling_time)
        return false;
    return reporting_time >= max_settling_time ||
        static_cast<double>(reported_entries_) >=
        min_reported_part * static_cast<double>(listed_entries_);
}

void organisation_limits::set_listed_vms(std::size_t entries, std::size_t vms)
{
    listed_entries_ = std::max<std::size_t>(entries, 1);
    listed_vms_ = std::max(vms, listed_entries_);
}

text_map<organisation_report> organisation_limits::make_report(time_point now)
{
    text_map<organisation_report> reports;
    for (auto& [name, it] : organisations_) {
        auto const grants = count_grants(it.grants, now);
        organisation_report const report{
            it.demand.per_second(now), grants.within_window, grants};
        if (report.demand > min_reported_demand || report.granted > 0)
            reports.emplace(name, report);
    }
    return reports;
}

void organisation_limits::remove_idle(time_point now)
{
    absl::erase_if(organisations_, [&](auto const& it) {
        return it.second.elsewhere == organisation_report{} &&
            now - it.second.last_used_at > idle_timeout;
    });
}

} // namespace pomelohinge
