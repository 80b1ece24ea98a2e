#include "servers/exchange/report_receiver.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Names of one kind in a stream, several times what the design size needs. It
/// bounds the memory that a faulty sender can use.
constexpr std::size_t max_names = 1'000'000;

} // namespace

bool report_receiver::knows_base(report_changes const& changes) const
{
    auto const& from = changes.position;
    if (changes.is_complete())
        // A message of this or an earlier stream was overtaken.
        return from.stream > position_.stream ||
            (from.stream == position_.stream &&
                from.sequence > position_.sequence);
    return from.stream == position_.stream &&
        changes.base == position_.sequence;
}

bool report_receiver::learn_names(report_changes const& changes)
{
    if (changes.position.stream != position_.stream) {
        target_names_.clear();
        organisation_names_.clear();
    }
    if (target_names_.size() + changes.target_names.size() > max_names ||
        organisation_names_.size() + changes.organisation_names.size() >
            max_names)
        return false;
    for (auto const& it : changes.target_names)
        target_names_[it.index] = it.text;
    for (auto const& it : changes.organisation_names)
        organisation_names_[it.index] = it.text;
    return true;
}

bool report_receiver::knows_rows(report_changes const& changes) const
{
    return std::all_of(changes.targets.begin(), changes.targets.end(),
               [&](auto const& it) {
                   return target_names_.contains(it.target);
               }) &&
        std::all_of(changes.organisations.begin(), changes.organisations.end(),
            [&](auto const& it) {
                return organisation_names_.contains(it.organisation);
            });
}

void report_receiver::apply_rows(report_changes const& changes)
{
    if (changes.is_complete()) {
        in_flight_.clear();
        organisations_.clear();
        loads_.clear();
    }
    if (changes.loads)
        loads_ = *changes.loads;
    for (auto const& it : changes.targets) {
        auto const& name = target_names_.at(it.target);
        if (it.report.in_flight > 0)
            in_flight_[name] = it.report.in_flight;
        else
            in_flight_.erase(name);
    }
    for (auto const& it : changes.organisations) {
        auto const& name = organisation_names_.at(it.organisation);
        if (it.report == organisation_report{})
            organisations_.erase(name);
        else
            organisations_[name] = it.report;
    }
}

std::optional<traffic_report> report_receiver::apply(
    report_changes const& changes, time_point now)
{
    if (!knows_base(changes))
        return std::nullopt;
    if (!learn_names(changes) || !knows_rows(changes)) {
        position_ = {};
        return std::nullopt;
    }
    apply_rows(changes);
    position_ = changes.position;
    received_at_ = now;
    traffic_report report;
    for (auto const& [name, count] : in_flight_)
        report.targets[name].in_flight = count;
    for (auto const& it : changes.targets)
        report.targets[target_names_.at(it.target)].add_observations(it.report);
    report.organisations = organisations_;
    report.suspects = changes.suspects;
    report.rollouts = changes.rollouts;
    report.loads = loads_;
    report.load = changes.load;
    report.entries = changes.entries;
    report.partial = changes.partial;
    absl::erase_if(
        report.targets, [](auto const& it) { return it.second.empty(); });
    return report;
}

} // namespace pomelohinge
