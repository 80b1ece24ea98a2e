#include "servers/rollouts/rollout_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomelohinge {
namespace {

constexpr double classes_per_octave = 2;
constexpr double ms_per_second = 1000;

double lower_edge_ms(std::size_t at)
{
    return at == 0 ? 0
                   : std::exp2(static_cast<double>(at) / classes_per_octave);
}

double upper_edge_ms(std::size_t at)
{
    return std::exp2(static_cast<double>(at + 1) / classes_per_octave);
}

} // namespace

void latency_classes::add(duration latency)
{
    auto const ms = std::max(to_seconds(latency) * ms_per_second, 1.0);
    auto const at =
        static_cast<std::size_t>(std::log2(ms) * classes_per_octave);
    ++counts_[std::min(at, count - 1)];
}

void latency_classes::add(latency_classes const& other)
{
    for (std::size_t it = 0; it < count; ++it)
        counts_[it] += other.counts_[it];
}

std::uint64_t latency_classes::total() const
{
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

duration latency_classes::quantile(double share) const
{
    auto const wanted = share * static_cast<double>(total());
    double below = 0;
    for (std::size_t it = 0; it < count; ++it) {
        auto const here = static_cast<double>(counts_[it]);
        if (here > 0 && below + here >= wanted) {
            auto const part = (wanted - below) / here;
            auto const ms = lower_edge_ms(it) +
                part * (upper_edge_ms(it) - lower_edge_ms(it));
            return from_seconds(ms / ms_per_second);
        }
        below += here;
    }
    return duration::zero();
}

void evidence_counts::add(evidence_counts const& other)
{
    good += other.good;
    failed += other.failed;
    slow += other.slow;
    latencies.add(other.latencies);
}

void add_evidence(rollout_evidence& to, rollout_evidence const& from)
{
    for (auto const& [key, counts] : from)
        to[key].add(counts);
}

} // namespace pomelohinge
