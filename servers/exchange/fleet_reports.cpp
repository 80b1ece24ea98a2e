#include "servers/exchange/fleet_reports.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Suspects in one report; the latest are kept.
constexpr std::size_t most_suspects = 64;

/// A source that was silent for so long is taken to have nothing under way.
constexpr duration traffic_patience = std::chrono::milliseconds(2500);

/// A source that lets requests through and was silent for so long may have
/// let through more than is known. Sources report several times within it.
constexpr duration counting_patience = std::chrono::milliseconds(1200);

/// How long what a silent source let through is remembered. Another data
/// centre may be cut off from this one alone and serve for longer.
constexpr duration near_memory = std::chrono::seconds(8);
constexpr duration distant_memory = std::chrono::seconds(20);

/// Less than this is not worth telling.
constexpr double least_granted = 0.5;

void add_suspect(std::vector<poison_suspect>& to, poison_suspect const& it)
{
    auto const same = std::find_if(to.begin(), to.end(),
        [&](auto const& held) { return held.print == it.print; });
    if (same == to.end()) {
        if (to.size() < most_suspects)
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
        auto& mine = targets[target];
        mine.in_flight += it.in_flight;
        mine.add_observations(it);
    }
    for (auto const& [organisation, it] : other.organisations) {
        auto& mine = organisations[organisation];
        mine.demand += it.demand;
        mine.granted += it.granted;
        mine.grants.add(it.grants);
    }
    for (auto const& it : other.suspects)
        add_suspect(suspects, it);
    load += other.load;
    partial |= other.partial;
    entries += other.entries;
}

void report_aggregator::take(std::string const& source, bool distant,
    traffic_report report, time_point now)
{
    if (now - taken_at_ > counting_patience)
        began_at_ = now;
    taken_at_ = now;
    auto& it = sources_[source];
    it.distant = distant;
    it.heard_at = it.aged_at = now;
    it.silent = false;
    it.last = std::move(report);
    count_grants(it, now);
    spread(source, it);
    // The news have been spread; what remains are counts.
    for (auto& [target, counts] : it.last.targets)
        counts = target_report{counts.in_flight, 0, 0, 0};
}

void report_aggregator::spread(
    std::string const& from, source_entry const& entry)
{
    for (auto& [name, it] : sources_) {
        if (name == from || (it.distant && entry.distant))
            continue;
        for (auto const& [target, counts] : entry.last.targets)
            if (counts.has_observations())
                it.untold[target].add_observations(counts);
    }
}

traffic_report report_aggregator::report_for(
    std::string const& reader, bool distant)
{
    traffic_report told;
    told.partial = taken_at_ - began_at_ < counting_patience;
    for (auto const& [name, it] : sources_) {
        if (name == reader || (distant && it.distant))
            continue;
        told.add(it.last);
        told.partial |= it.silent;
    }
    auto const own = sources_.find(reader);
    if (own != sources_.end()) {
        for (auto const& [target, news] : own->second.untold)
            told.targets[target].add_observations(news);
        own->second.untold.clear();
    }
    absl::erase_if(
        told.targets, [](auto const& it) { return it.second.empty(); });
    return told;
}

bool report_aggregator::has_failures_for(std::string const& reader) const
{
    auto const it = sources_.find(reader);
    return it != sources_.end() &&
        std::any_of(it->second.untold.begin(), it->second.untold.end(),
            [](auto const& news) {
                return news.second.faults > 0 || news.second.silences > 0;
            });
}

void report_aggregator::count_grants(source_entry& it, time_point now)
{
    for (auto const& [organisation, counts] : it.last.organisations)
        it.granted[organisation].report(counts.granted, now);
    absl::erase_if(it.granted, [&](auto const& count) {
        return count.second.at(now) < least_granted;
    });
    fade_grants(it, now);
}

/// What a source let through leaves the window as time passes; what it may
/// let through in silence is bounded by its share.
void report_aggregator::fade_grants(source_entry& it, time_point now)
{
    for (auto const& [organisation, count] : it.granted)
        it.last.organisations[organisation].granted = count.at(now);
}

void report_aggregator::age_grants(source_entry& it, time_point now)
{
    auto const passed = now - it.aged_at;
    if (now - it.heard_at < grant_step / 2)
        return;
    it.aged_at = now;
    for (auto& [organisation, counts] : it.last.organisations)
        counts.grants.advance(passed);
}

void report_aggregator::expire(time_point now)
{
    absl::erase_if(sources_, [&](auto const& it) {
        auto const silence = now - it.second.heard_at;
        return silence > (it.second.distant ? distant_memory : near_memory);
    });
    for (auto& [name, it] : sources_) {
        fade_grants(it, now);
        age_grants(it, now);
        it.silent = now - it.heard_at > counting_patience &&
            !it.last.organisations.empty();
        if (now - it.heard_at <= traffic_patience)
            continue;
        it.last.targets.clear();
        it.last.entries = 0;
        it.last.load = 0;
    }
}

} // namespace pomelohinge
