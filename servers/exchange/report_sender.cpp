#include "servers/exchange/report_sender.hpp"

#include <algorithm>
#include <cmath>

namespace pomelohinge {
namespace {

/// Rows that are not urgent are sent at most this often. Shorter than the time
/// for which a target counts as in use after a request has reached it, 1.4 s.
constexpr duration row_period = std::chrono::seconds(1);

/// Complete reports are this far apart, or farther if they would use more than
/// `max_complete_share` of the budget.
constexpr duration complete_period = std::chrono::seconds(4);
constexpr double max_complete_share = 0.5;

/// Answers of a target decide whether it recovers for this long after a
/// failure.
constexpr duration recovery_window = std::chrono::seconds(5);

/// An organisation is near its limit from this part of it on.
constexpr double near_limit = 0.6;

/// Grants of an organisation near its limit are sent if any count by age
/// changed by this.
constexpr double near_change = 0.5;

/// For others a change is urgent from this part of the limit on, and at least
/// from this number of grants.
constexpr double urgent_change = 0.1;
constexpr double min_urgent_change = 2;

/// Smaller changes of demand and grants are left to the complete reports.
constexpr double min_relative_change = 0.1;
constexpr double min_demand_change = 0.2;

/// Loads of services are sent this often. They change slowly, and the decision
/// that uses them is made as often.
constexpr duration loads_period = std::chrono::milliseconds(450);

/// Approximate encoded sizes.
constexpr double message_bytes = 220;
constexpr double target_row_bytes = 7;
constexpr double organisation_row_bytes = 12;
constexpr double name_bytes = 6;
constexpr double load_bytes = 60;

/// Unused budget is kept for this time.
constexpr double max_saved_seconds = 1;

/// The index of names is rebuilt if it has more than this many that are not in
/// use, so that names of removed targets do not pile up.
constexpr std::size_t max_unused_names = 1000;

double largest_change(grant_counts const& left, grant_counts const& right)
{
    auto change = std::abs(left.within_window - right.within_window);
    for (std::size_t n = 0; n < left.within_steps.size(); ++n)
        change = std::max(
            change, std::abs(left.within_steps[n] - right.within_steps[n]));
    return change;
}

double grants_change(
    organisation_report const& left, organisation_report const& right)
{
    return std::max(std::abs(left.granted - right.granted),
        largest_change(left.grants, right.grants));
}

bool demand_differs(
    organisation_report const& left, organisation_report const& right)
{
    return std::abs(left.demand - right.demand) >
        std::max(min_demand_change, right.demand * min_relative_change);
}

} // namespace

void report_sender::refill(time_point now)
{
    auto const most = rate_ * max_saved_seconds;
    auto const elapsed = std::min(to_seconds(now - refilled_at_), 1.0);
    // A debt beyond a second's budget is dropped, since it comes from what must
    // be sent anyway.
    tokens_ = std::clamp(tokens_ + elapsed * rate_, -most, most);
    refilled_at_ = now;
}

void report_sender::update_states(traffic_report const& current, time_point now)
{
    for (auto& [name, it] : targets_)
        it.pending.in_flight = 0;
    for (auto const& [name, reported] : current.targets) {
        auto& it = targets_[name];
        it.pending.in_flight = reported.in_flight;
        it.pending.add_observations(reported);
        if (reported.faults > 0 || reported.silences > 0)
            it.failed_at = now;
    }
    for (auto& [name, it] : organisations_)
        it.current = {};
    for (auto const& [name, reported] : current.organisations)
        organisations_[name].current = reported;
}

bool report_sender::is_complete_due(time_point now) const
{
    auto const affordable = from_seconds(
        complete_bytes_ / std::max(rate_ * max_complete_share, 1.0));
    return starts_stream_ || sequence_ == 0 ||
        now - completed_at_ >= std::max(complete_period, affordable);
}

void report_sender::begin_stream()
{
    starts_stream_ = false;
    ++stream_;
    sequence_ = 0;
    last_target_ = last_organisation_ = 0;
    for (auto& [name, it] : targets_)
        it.is_named = false;
    for (auto& [name, it] : organisations_)
        it.is_named = false;
}

/// Removes what the receiver need not know any more. A complete report follows,
/// so that the receiver drops it as well.
void report_sender::forget_idle(time_point now)
{
    absl::erase_if(targets_, [&](auto const& it) {
        return it.second.pending.empty() &&
            now - it.second.failed_at > recovery_window;
    });
    absl::erase_if(organisations_, [](auto const& it) {
        return it.second.current == organisation_report{};
    });
    starts_stream_ |= last_target_ > targets_.size() + max_unused_names ||
        last_organisation_ > 2 * organisations_.size() + max_unused_names;
}

void report_sender::add_loads(
    report_changes& to, traffic_report const& current, time_point now)
{
    bool const is_due =
        to.is_complete() || now - loads_sent_at_ >= loads_period;
    bool const has_any = has_loads_ || !current.loads.empty();
    if (!is_due || !has_any)
        return;
    loads_sent_at_ = now;
    has_loads_ = !current.loads.empty();
    to.loads = current.loads;
    tokens_ -= load_bytes * static_cast<double>(current.loads.size());
}

report_changes report_sender::make(
    traffic_report const& current, usage_lookup const& usage, time_point now)
{
    if (is_waiting_)
        record_failure();
    refill(now);
    update_states(current, now);
    bool const is_complete = is_complete_due(now);
    if (is_complete)
        forget_idle(now);
    began_stream_ = starts_stream_;
    if (starts_stream_)
        begin_stream();
    report_changes changes;
    changes.base = is_complete ? 0 : sequence_;
    changes.position = {stream_, ++sequence_};
    changes.suspects = current.suspects;
    changes.rollouts = current.rollouts;
    changes.load = current.load;
    changes.entries = current.entries;
    changes.partial = current.partial;
    is_waiting_ = true;
    sent_.clear();
    auto const before = tokens_;
    tokens_ -= message_bytes;
    add_loads(changes, current, now);
    if (is_complete) {
        add_all(changes, now);
        completed_at_ = now;
        complete_bytes_ = before - tokens_;
    } else {
        add_changed(changes, usage, now);
        add_optional(changes, now);
    }
    return changes;
}

void report_sender::add_all(report_changes& to, time_point now)
{
    for (auto& row : targets_) {
        row.second.held = 0;
        if (!row.second.pending.empty())
            add(to, row, now);
    }
    for (auto& row : organisations_)
        add(to, row, now);
}

/// Adds what is urgent, and collects the rest that has changed.
void report_sender::add_changed(
    report_changes& to, usage_lookup const& usage, time_point now)
{
    optional_.clear();
    for (auto& row : targets_) {
        auto const& it = row.second;
        bool const has_failures =
            it.pending.faults > 0 || it.pending.silences > 0;
        bool const may_recover =
            it.pending.answers > 0 && now - it.failed_at < recovery_window;
        if (has_failures || may_recover)
            add(to, row, now);
        else if (now - it.sent_at >= row_period &&
            (it.pending.answers > 0 || it.pending.in_flight != it.held))
            // Below the importance of organisations.
            optional_.push_back(
                {-1 / to_seconds(now - it.sent_at), &row, nullptr});
    }
    for (auto& row : organisations_)
        if (row.second.current != row.second.held)
            rate_change(to, row, usage(row.first), now);
}

void report_sender::rate_change(report_changes& to, organisation_row& row,
    organisation_usage const& usage, time_point now)
{
    auto const& it = row.second;
    auto const change = grants_change(it.current, it.held);
    bool const is_near =
        usage.limit > 0 && usage.granted >= near_limit * usage.limit;
    auto const threshold = is_near
        ? near_change
        : std::max(min_urgent_change, urgent_change * usage.limit);
    if (usage.limit > 0 && change >= threshold)
        return add(to, row, now);
    bool const is_small =
        change < min_urgent_change && !demand_differs(it.current, it.held);
    if (now - it.sent_at >= row_period && !is_small)
        optional_.push_back(
            {usage.limit > 0 ? change / usage.limit : 0, nullptr, &row});
}

void report_sender::add_optional(report_changes& to, time_point now)
{
    std::sort(optional_.begin(), optional_.end(),
        [](auto const& left, auto const& right) {
            return left.importance > right.importance;
        });
    for (auto const& it : optional_) {
        if (tokens_ <= 0)
            return;
        if (it.target != nullptr)
            add(to, *it.target, now);
        else
            add(to, *it.organisation, now);
    }
}

void report_sender::add(report_changes& to, target_row& row, time_point now)
{
    auto& [name, it] = row;
    tokens_ -= target_row_bytes;
    if (!it.is_named) {
        it.index = ++last_target_;
        it.is_named = true;
        to.target_names.push_back({it.index, name});
        tokens_ -= static_cast<double>(name.size()) + name_bytes;
    }
    to.targets.push_back({it.index, it.pending});
    if (it.pending.has_observations())
        sent_.emplace_back(name, it.pending);
    it.held = it.pending.in_flight;
    it.pending = {it.pending.in_flight, 0, 0, 0};
    it.sent_at = now;
}

void report_sender::add(
    report_changes& to, organisation_row& row, time_point now)
{
    auto& [name, it] = row;
    tokens_ -= organisation_row_bytes;
    if (!it.is_named) {
        it.index = ++last_organisation_;
        it.is_named = true;
        to.organisation_names.push_back({it.index, name});
        tokens_ -= static_cast<double>(name.size()) + name_bytes;
    }
    to.organisations.push_back({it.index, it.current});
    it.held = it.current;
    it.sent_at = now;
}

bool report_sender::record_reply(
    report_position const& confirmed, time_point now)
{
    if (!is_waiting_)
        return false;
    is_waiting_ = false;
    if (confirmed == report_position{stream_, sequence_}) {
        confirmed_at_ = now;
        return false;
    }
    for (auto const& [name, it] : sent_)
        targets_[name].pending.add_observations(it);
    starts_stream_ = true;
    return !began_stream_;
}

void report_sender::record_failure()
{
    is_waiting_ = false;
    starts_stream_ = true;
}

} // namespace pomelohinge
