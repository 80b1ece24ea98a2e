#include "servers/rollouts/version_judge.hpp"

#include <algorithm>
#include <cmath>

namespace pomelohinge {
namespace {

/// Observed of the targets of all services: the share that is disturbed at any
/// time, the share of requests that a disturbed one fails, and about how long
/// it stays so.
constexpr double disturbed_share = 0.3;
constexpr double disturbed_bad_share = 0.85;
constexpr double disturbed_seconds = 5;

/// Time constant with which knowledge about a target's state is lost: the
/// inverse of the sum of the rates of both transitions.
constexpr double state_memory_seconds =
    disturbed_seconds * (1 - disturbed_share);

/// Shares of bad answers of a sound target: of a good version, which are a few
/// failures and the slowest answers, and of bad ones.
constexpr double good_bad_share = 0.02;
constexpr double bad_shares[] = {0.06, 0.2, 0.5, 0.9};

/// Evidence that suffices. A good version reaches it from zero about once in
/// e^11 trials, and less often from the lowest value, which it mostly has. With
/// 8 and a lowest value of zero 50 of 400 good versions were rolled back in
/// `rollout_process_test`, with 10 and -4 two, now none.
constexpr double sufficient_evidence = 11;
constexpr double lowest_evidence = -4;
/// Less suffices once so many answers of probably sound targets were bad, since
/// a bad version must be stopped well before its fiftieth one. With 9 and 12
/// above, one that was slower was stopped 6 s after it.
constexpr double many_bad_answers = 20;
constexpr double sufficient_evidence_of_many = 8;

constexpr double suspicious_evidence = 3;

/// A target is taken as disturbed from this probability on.
constexpr double probably_disturbed = 0.7;

/// Neither state of a target is ever excluded.
constexpr double min_probability = 1e-6;

/// Routes with hypotheses of their own, which bounds the work for a report.
constexpr std::size_t max_routes = 16;

double forget(double disturbed, duration passed)
{
    auto const kept = std::exp(-to_seconds(passed) / state_memory_seconds);
    return disturbed_share + (disturbed - disturbed_share) * kept;
}

double log_likelihood(double share, std::uint32_t bad, std::uint32_t total)
{
    return bad * std::log(share) + (total - bad) * std::log(1 - share);
}

/// Updates the probability that a target is disturbed by outcomes of requests,
/// and returns their log likelihood. `share` is that of a sound target.
double update(
    double& disturbed, double share, std::uint32_t bad, std::uint32_t total)
{
    auto const sound_log =
        std::log(1 - disturbed) + log_likelihood(share, bad, total);
    auto const disturbed_log = std::log(disturbed) +
        log_likelihood(std::max(share, disturbed_bad_share), bad, total);
    auto const larger = std::max(sound_log, disturbed_log);
    auto const sum = larger +
        std::log(
            std::exp(sound_log - larger) + std::exp(disturbed_log - larger));
    disturbed = std::clamp(
        std::exp(disturbed_log - sum), min_probability, 1 - min_probability);
    return sum;
}

} // namespace

version_judge::version_judge()
{
    hypotheses_.push_back({good_bad_share, true, {}, 0, 0});
    add_hypotheses(true, {});
}

void version_judge::add_hypotheses(bool all_routes, std::string const& route)
{
    for (auto const share : bad_shares)
        hypotheses_.push_back({share, all_routes, route, 0, 0});
}

void version_judge::add(std::string const& route, std::string const& target,
    std::uint32_t bad, std::uint32_t total, time_point now)
{
    if (total == 0)
        return;
    if (!routes_.contains(route) && routes_.size() < max_routes)
        add_hypotheses(false, route);
    routes_[route] += total;
    samples_ += total;
    bad_answers_ += bad;
    auto& track = targets_[target];
    track.samples += total;
    if (track.disturbed.empty())
        track.disturbed.push_back(disturbed_share);
    // Until now a new hypothesis did not differ from that of a good version.
    track.disturbed.resize(hypotheses_.size(), track.disturbed.front());
    auto const passed = track.updated_at == time_point{}
        ? duration::zero()
        : now - track.updated_at;
    track.updated_at = now;
    double good_log = 0;
    for (std::size_t n = 0; n < hypotheses_.size(); ++n) {
        auto& it = hypotheses_[n];
        bool const concerns = it.all_routes || it.route == route;
        auto& disturbed = track.disturbed[n];
        disturbed = forget(disturbed, passed);
        auto const log = update(
            disturbed, concerns ? it.bad_share : good_bad_share, bad, total);
        if (n == 0) {
            good_log = log;
            continue;
        }
        it.evidence = std::max(lowest_evidence, it.evidence + log - good_log);
        auto const sound = 1 - track.disturbed.front();
        it.bad_since_lowest = it.evidence <= lowest_evidence
            ? 0
            : it.bad_since_lowest + sound * bad;
    }
}

bool version_judge::suffices(hypothesis const& it)
{
    return it.evidence >= sufficient_evidence ||
        (it.evidence >= sufficient_evidence_of_many &&
            it.bad_since_lowest >= many_bad_answers);
}

bool version_judge::is_bad() const
{
    return std::any_of(hypotheses_.begin(), hypotheses_.end(), suffices);
}

double version_judge::strongest_evidence() const
{
    double strongest = 0;
    for (auto const& it : hypotheses_)
        strongest = std::max(strongest, it.evidence);
    return strongest;
}

bool version_judge::is_suspicious() const
{
    return strongest_evidence() >= suspicious_evidence;
}

bool version_judge::is_disturbed(
    std::string const& target, time_point now) const
{
    auto const it = targets_.find(target);
    return it != targets_.end() &&
        forget(it->second.disturbed.front(), now - it->second.updated_at) >
        probably_disturbed;
}

std::uint64_t version_judge::samples_of_route(std::string const& route) const
{
    auto const it = routes_.find(route);
    return it == routes_.end() ? 0 : it->second;
}

std::uint64_t version_judge::samples_at(std::string const& target) const
{
    auto const it = targets_.find(target);
    return it == targets_.end() ? 0 : it->second.samples;
}

} // namespace pomelohinge
