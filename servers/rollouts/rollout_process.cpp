#include "servers/rollouts/rollout_process.hpp"

#include <algorithm>
#include <cmath>

namespace pomelohinge {
namespace {

/// Share of the requests on trial, of `exposure_share`: first, and once there
/// is some evidence. The rest is for the time between the moment at which the
/// whole load moves to the new version and the moment at which one that fails
/// only then has been stopped.
constexpr double first_share = 0.25;
constexpr double full_share = 0.6;
/// Answers that end the time of the first share.
constexpr std::uint64_t first_samples = 20;

/// The rate of requests is taken from at least this time, and the share that
/// follows from it is no higher than this one.
constexpr duration min_observed = std::chrono::seconds(3);
constexpr double max_share = 0.3;

/// A target is on trial for this long, then one with less evidence.
constexpr duration canary_period = std::chrono::seconds(3);
/// A target that seemed disturbed is not chosen again for this long.
constexpr duration replaced_period = std::chrono::seconds(5);
constexpr std::size_t min_canaries = 2;
constexpr std::size_t max_canaries = 8;

/// Time for the old targets to end what they run: this part of the time that
/// the rollout has, within bounds.
constexpr int settling_part = 8;
constexpr duration min_settling_time = std::chrono::milliseconds(1500);
constexpr duration max_settling_time = std::chrono::seconds(4);
/// The decision to switch reaches the last VM, and reports of requests in
/// flight come back, in this time.
constexpr duration min_switch_time = std::chrono::milliseconds(1200);
/// Time for which the version must bear the whole load before its success is
/// written, unless time runs out: it may fail only then, and answers and
/// reports are late by about a second.
constexpr duration proof_time = std::chrono::milliseconds(2200);

/// Time for the write of the status, which may have to be repeated by another
/// VM that takes over.
constexpr duration write_margin = std::chrono::seconds(2);

/// Samples of each route that a version needs before it counts as proven, and
/// those of all routes that it needs when time runs out.
constexpr std::uint64_t route_samples = 15;
constexpr std::uint64_t min_samples = 10;

/// Routes with a smaller share of the old version's answers are not waited for.
constexpr double min_route_share = 0.02;

/// The new targets' slots must exceed the recent maximum of requests in flight
/// by this factor, since three in ten of them fail and the load grows.
constexpr double capacity_factor = 1.7;
/// The factor when time runs out.
constexpr double min_capacity_factor = 1.1;
constexpr duration peak_memory = std::chrono::seconds(15);

/// Answers of the old version that a limit on latencies is based on.
constexpr std::uint64_t min_latencies = 100;
/// An answer is slow beyond this multiple of the old version's median and of
/// its 95th percentile, whichever is later: "several times slower" is beyond
/// both, and few answers of a version with a wide distribution are.
constexpr double median_factor = 2;
constexpr double tail_share = 0.95;
constexpr double tail_factor = 1.5;

duration scale(duration value, double factor)
{
    return from_seconds(to_seconds(value) * factor);
}

} // namespace

rollout_process::rollout_process(chart<rollout_chart> const& state_chart,
    rollout_bounds bounds, rollout_order order, time_point started_at)
    : chart_(state_chart), bounds_(bounds), order_(std::move(order)),
      started_at_(started_at)
{
    read_order(order_);
}

void rollout_process::read_order(rollout_order const& order)
{
    order_ = order;
    switch (order.status) {
    case rollout_status::none:
        return;
    case rollout_status::running:
        chart_.fire(rollout_event::running_recorded, *this);
        return;
    case rollout_status::succeeded:
        chart_.fire(rollout_event::success_recorded, *this);
        return;
    case rollout_status::rolled_back:
        chart_.fire(rollout_event::rollback_recorded, *this);
        return;
    }
}

void rollout_process::end(rollout_state state)
{
    chart_.fire(state == rollout_state::succeeded
            ? rollout_event::success_recorded
            : rollout_event::rollback_recorded,
        *this);
}

void rollout_process::add_evidence(
    rollout_evidence const& evidence, time_point now)
{
    for (auto const& [key, counts] : evidence) {
        if (key.service != order_.service.text())
            continue;
        if (evidence_since_ == time_point{})
            evidence_since_ = now;
        if (key.target.empty())
            old_answers_[key.route].add(counts);
        else
            judge_.add(
                key.route, key.target, counts.bad(), counts.total(), now);
    }
    if (judge_.is_bad())
        chart_.fire(rollout_event::judged_bad, *this);
}

void rollout_process::update(
    std::vector<rollout_target> const& targets, time_point now)
{
    now_ = now;
    if (chart_.is_final())
        return;
    note_load(targets, now);
    if (state() == rollout_state::canary) {
        if (canary_since_ == time_point{})
            canary_since_ = now;
        choose_canaries(targets, now);
    }
    if (now >= switch_due_at())
        chart_.fire(rollout_event::switch_due, *this);
    if (now >= last_write_at())
        chart_.fire(rollout_event::deadline_passed, *this);
}

// Time.

duration rollout_process::settling_time() const
{
    return std::clamp<duration>(
        order_.finish_by / settling_part, min_settling_time, max_settling_time);
}

time_point rollout_process::last_write_at() const
{
    return started_at_ + order_.finish_by -
        std::min<duration>(write_margin, order_.finish_by / settling_part);
}

time_point rollout_process::switch_due_at() const
{
    return last_write_at() - settling_time() - min_switch_time;
}

// Capacity.

void rollout_process::note_load(
    std::vector<rollout_target> const& targets, time_point now)
{
    old_slots_ = new_slots_ = old_in_flight_ = 0;
    std::int64_t in_flight = 0;
    for (auto const& it : targets) {
        (it.is_new ? new_slots_ : old_slots_) += it.slots;
        in_flight += it.in_flight;
        old_in_flight_ += it.is_new ? 0 : it.in_flight;
    }
    if (peak_at_ != time_point{})
        peak_in_flight_ *=
            std::exp(-to_seconds(now - peak_at_) / to_seconds(peak_memory));
    peak_at_ = now;
    peak_in_flight_ = std::max(peak_in_flight_, static_cast<double>(in_flight));
}

bool rollout_process::bears_load() const
{
    bool const is_late = now_ + settling_time() >= last_write_at();
    auto const factor = is_late ? min_capacity_factor : capacity_factor;
    auto const needed = std::min(static_cast<double>(old_slots_),
        std::max(peak_in_flight_ * factor, 1.0));
    return new_slots_ > 0 && static_cast<double>(new_slots_) >= needed;
}

bool rollout_process::has_seen_all_routes() const
{
    std::uint64_t all = 0;
    for (auto const& [route, it] : old_answers_)
        all += it.total();
    return std::all_of(
        old_answers_.begin(), old_answers_.end(), [&](auto const& it) {
            return static_cast<double>(it.second.total()) <
                min_route_share * static_cast<double>(all) ||
                judge_.samples_of_route(it.first) >= route_samples;
        });
}

// The chart.

bool rollout_process::check(rollout_guard guard)
{
    switch (guard) {
    case rollout_guard::is_proven: {
        bool const is_late = now_ + settling_time() >= last_write_at();
        bool const has_evidence = judge_.samples() >= min_samples &&
            (is_late || has_seen_all_routes());
        return has_evidence && !judge_.is_suspicious() && bears_load();
    }
    }
    return false;
}

void rollout_process::perform(rollout_action action)
{
    switch (action) {
    case rollout_action::restart_evidence:
        judge_ = {};
        return;
    case rollout_action::note_switch:
        switched_at_ = now_;
        return;
    }
}

std::optional<rollout_status> rollout_process::wanted_status() const
{
    switch (state()) {
    case rollout_state::ordered:
        return rollout_status::running;
    case rollout_state::rolling_back:
        return rollout_status::rolled_back;
    case rollout_state::switching: {
        auto const passed = now_ - switched_at_;
        bool const is_settled = passed >= settling_time() + min_switch_time ||
            (passed >= proof_time && old_in_flight_ == 0);
        // Doubts that the whole load has not confirmed by now are unfounded.
        bool const is_trusted = !judge_.is_suspicious() ||
            now_ >= last_write_at() + write_margin / 2;
        return is_settled && is_trusted
            ? std::optional(rollout_status::succeeded)
            : std::nullopt;
    }
    // The store may have lost what was written, or a rolled back version may
    // have been ordered again, which needs a version of its own.
    case rollout_state::succeeded:
        return order_.status == rollout_status::succeeded
            ? std::nullopt
            : std::optional(rollout_status::succeeded);
    case rollout_state::rolled_back:
        return order_.status == rollout_status::rolled_back
            ? std::nullopt
            : std::optional(rollout_status::rolled_back);
    case rollout_state::canary:
        return order_.status == rollout_status::running
            ? std::nullopt
            : std::optional(rollout_status::running);
    }
    return std::nullopt;
}

// Targets on trial.

/// The number of targets whose slots the share on trial fills, so that a
/// version that fails only under load shows it.
std::size_t rollout_process::wanted_canaries(
    std::vector<rollout_target> const& targets) const
{
    std::int64_t slots = 0;
    std::int64_t n = 0;
    for (auto const& it : targets)
        if (it.is_new) {
            slots += it.slots;
            ++n;
        }
    if (n == 0)
        return 0;
    auto const on_trial = peak_in_flight_ * bounds_.exposure_share * full_share;
    auto const wanted =
        on_trial * static_cast<double>(n) / static_cast<double>(slots);
    return std::clamp(static_cast<std::size_t>(std::lround(wanted)),
        min_canaries, max_canaries);
}

bool rollout_process::is_replaceable(
    target_id const& target, time_point now) const
{
    auto const it = replaced_.find(target);
    return it == replaced_.end() || now - it->second >= replaced_period;
}

void rollout_process::choose_canaries(
    std::vector<rollout_target> const& targets, time_point now)
{
    std::set<target_id> available;
    for (auto const& it : targets)
        if (it.is_new)
            available.insert(it.id);
    std::erase_if(canaries_, [&](canary const& it) {
        bool const is_disturbed = judge_.is_disturbed(it.id.text(), now);
        if (is_disturbed)
            replaced_[it.id] = now;
        return is_disturbed || !available.contains(it.id) ||
            now - it.chosen_at >= canary_period;
    });
    for (auto const& it : canaries_)
        available.erase(it.id);
    // Those with the least evidence first, and those that seemed disturbed
    // only if there is no other.
    std::vector<target_id> order(available.begin(), available.end());
    std::stable_sort(
        order.begin(), order.end(), [&](auto const& left, auto const& right) {
            return std::pair(!is_replaceable(left, now),
                       judge_.samples_at(left.text())) <
                std::pair(!is_replaceable(right, now),
                    judge_.samples_at(right.text()));
        });
    auto const wanted = wanted_canaries(targets);
    for (auto const& it : order)
        if (canaries_.size() < wanted)
            canaries_.push_back({it, now});
}

/// The share that a bad version may get. A service with few requests would give
/// too little evidence, so half of the extra requests, spread over those that
/// are expected, are added.
double rollout_process::allowed_share() const
{
    auto const observed = now_ - evidence_since_;
    if (evidence_since_ == time_point{} || observed < min_observed)
        return bounds_.exposure_share;
    double answers = 0;
    for (auto const& [route, it] : old_answers_)
        answers += it.total();
    auto const expected =
        answers * to_seconds(order_.finish_by) / to_seconds(observed);
    auto const extra = bounds_.exposure_extra / 2 / std::max(expected, 1.0);
    return std::min(bounds_.exposure_share + extra,
        std::max(max_share, bounds_.exposure_share));
}

rollout_decision rollout_process::decision() const
{
    rollout_decision made;
    made.service = order_.service;
    made.version = order_.version;
    made.state = state();
    made.started_at = started_at_;
    if (state() == rollout_state::canary) {
        auto const part =
            judge_.samples() < first_samples ? first_share : full_share;
        made.share = allowed_share() * part;
        for (auto const& it : canaries_)
            made.canaries.push_back(it.id);
    }
    if (!is_final(state()))
        for (auto const& [route, it] : old_answers_)
            if (it.latencies.total() >= min_latencies)
                made.slow_limits[route] =
                    std::max(scale(it.latencies.quantile(0.5), median_factor),
                        scale(it.latencies.quantile(tail_share), tail_factor));
    return made;
}

} // namespace pomelohinge
