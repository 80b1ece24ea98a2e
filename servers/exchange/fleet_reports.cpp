#include "servers/exchange/fleet_reports.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

/// Suspects in one report. Further ones are dropped; the senders list the
/// latest first.
constexpr std::size_t max_suspects = 64;

/// A source whose latest report is older has no requests in flight.
constexpr duration max_traffic_age = std::chrono::milliseconds(2500);

/// If the latest report of a source that grants requests is older, the source
/// may have granted more since. Sources report several times within this
/// period.
constexpr duration max_grants_age = std::chrono::milliseconds(1200);

/// Remote sources that have not reported after this time are taken to be gone.
constexpr duration max_start_time = std::chrono::seconds(4);

/// How long the latest report of a source is used. Another data centre may be
/// cut off from this one only and go on serving for longer.
constexpr duration max_local_report_age = std::chrono::seconds(8);
constexpr duration max_remote_report_age = std::chrono::seconds(20);

/// Smaller counts of granted requests are removed.
constexpr double min_granted = 0.5;

void add_suspect(std::vector<poison_suspect>& to, poison_suspect const& it)
{
    auto const same =
        std::find_if(to.begin(), to.end(), [&](auto const& existing) {
            return existing.request_fingerprint == it.request_fingerprint;
        });
    if (same == to.end()) {
        if (to.size() < max_suspects)
            to.push_back(it);
        return;
    }
    same->crashes = std::max(same->crashes, it.crashes);
    same->age = std::min(same->age, it.age);
}

} // namespace

void traffic_report::add(traffic_report const& other)
{
    for (auto const& [target, it] : other.targets) {
        auto& sum = targets[target];
        sum.in_flight += it.in_flight;
        sum.add_observations(it);
    }
    for (auto const& [organisation, it] : other.organisations) {
        auto& sum = organisations[organisation];
        sum.demand += it.demand;
        sum.granted += it.granted;
        sum.grants.add(it.grants);
    }
    for (auto const& it : other.suspects)
        add_suspect(suspects, it);
    add_evidence(rollouts, other.rollouts);
    for (auto const& [key, it] : other.loads)
        loads[key].add(it);
    load += other.load;
    partial |= other.partial;
    entries += other.entries;
}

void report_aggregator::add_report(std::string const& source, bool remote,
    traffic_report report, time_point now)
{
    if (now - last_report_at_ > max_grants_age)
        reporting_since_ = now;
    last_report_at_ = now;
    auto& it = sources_[source];
    it.remote = remote;
    it.reported_at = it.aged_at = it.loads_aged_at = now;
    it.is_stale = false;
    it.last = std::move(report);
    count_grants(it, now);
    add_pending(source, it);
    // The observations are now pending at the other sources; only the counts
    // of requests in flight remain here.
    for (auto& [target, counts] : it.last.targets)
        counts = target_report{counts.in_flight, 0, 0, 0};
    it.last.rollouts.clear();
}

void report_aggregator::add_pending(
    std::string const& from, source_entry const& entry)
{
    for (auto& [name, it] : sources_) {
        if (name == from || (it.remote && entry.remote))
            continue;
        for (auto const& [target, counts] : entry.last.targets)
            if (counts.has_observations())
                it.pending[target].add_observations(counts);
        add_evidence(it.pending_rollouts, entry.last.rollouts);
    }
}

/// Whether sources that will report may still be missing from the sum.
bool report_aggregator::is_starting(bool for_remote) const
{
    auto const reporting_time = last_report_at_ - reporting_since_;
    if (reporting_time < max_grants_age)
        return true;
    auto const remotes = static_cast<std::size_t>(
        std::count_if(sources_.begin(), sources_.end(), [](auto const& it) {
            return it.second.remote && !it.second.last.partial;
        }));
    // Remote sources exchange their reports directly.
    return !for_remote && remotes < expected_remotes_ &&
        reporting_time < max_start_time;
}

traffic_report report_aggregator::report_for(
    std::string const& receiver, bool remote)
{
    traffic_report sum;
    sum.partial = is_starting(remote);
    for (auto const& [name, it] : sources_) {
        if (name == receiver || (remote && it.remote))
            continue;
        sum.add(it.last);
        sum.partial |= it.is_stale;
    }
    auto const entry = sources_.find(receiver);
    if (entry != sources_.end()) {
        for (auto const& [target, counts] : entry->second.pending)
            sum.targets[target].add_observations(counts);
        entry->second.pending.clear();
        add_evidence(
            sum.rollouts, std::exchange(entry->second.pending_rollouts, {}));
    }
    absl::erase_if(
        sum.targets, [](auto const& it) { return it.second.empty(); });
    return sum;
}

double report_aggregator::granted(std::string const& organisation) const
{
    double sum = 0;
    for (auto const& [name, it] : sources_) {
        auto const reported = it.last.organisations.find(organisation);
        if (reported != it.last.organisations.end())
            sum += reported->second.granted;
    }
    return sum;
}

bool report_aggregator::has_failures_for(std::string const& receiver) const
{
    auto const it = sources_.find(receiver);
    return it != sources_.end() &&
        std::any_of(it->second.pending.begin(), it->second.pending.end(),
            [](auto const& counts) {
                return counts.second.faults > 0 || counts.second.silences > 0;
            });
}

void report_aggregator::count_grants(source_entry& it, time_point now)
{
    for (auto const& [organisation, counts] : it.last.organisations)
        it.granted[organisation].report(counts.granted, now);
    absl::erase_if(it.granted,
        [&](auto const& count) { return count.second.at(now) < min_granted; });
    decay_grants(it, now);
}

/// Grants of a source leave the sliding window as time passes. What it may
/// grant without reporting is bounded by its share.
void report_aggregator::decay_grants(source_entry& it, time_point now)
{
    for (auto const& [organisation, count] : it.granted)
        it.last.organisations[organisation].granted = count.at(now);
}

void report_aggregator::age_grants(source_entry& it, time_point now)
{
    auto const passed = now - it.aged_at;
    if (now - it.reported_at < grant_step / 2)
        return;
    it.aged_at = now;
    for (auto& [organisation, counts] : it.last.organisations)
        counts.grants.advance(passed);
}

/// The loads of this data centre are those of its VMs, some of which may be
/// gone; the age is that of the contact with another data centre.
void report_aggregator::age_loads(source_entry& it, time_point now)
{
    auto const passed = now - std::exchange(it.loads_aged_at, now);
    if (it.remote)
        for (auto& [key, load] : it.last.loads)
            load.age += passed;
}

void report_aggregator::expire(time_point now)
{
    absl::erase_if(sources_, [&](auto const& it) {
        auto const report_age = now - it.second.reported_at;
        return report_age >
            (it.second.remote ? max_remote_report_age : max_local_report_age);
    });
    for (auto& [name, it] : sources_) {
        decay_grants(it, now);
        age_grants(it, now);
        age_loads(it, now);
        it.is_stale = now - it.reported_at > max_grants_age &&
            !it.last.organisations.empty();
        if (now - it.reported_at <= max_traffic_age)
            continue;
        it.last.targets.clear();
        it.last.loads.clear();
        it.last.entries = 0;
        it.last.load = 0;
    }
}

} // namespace pomelohinge
