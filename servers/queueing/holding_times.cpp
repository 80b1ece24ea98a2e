#include "servers/queueing/holding_times.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// The quantiles are computed once for this many samples, since every decision
/// reads them and few attempts change them.
constexpr std::size_t update_period = 4;

} // namespace

void holding_times::add(duration held)
{
    samples_ms_[added_++ % max_samples] = static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(held).count());
    if (added_ < max_samples || added_ % update_period == 0)
        update_quantiles();
}

void holding_times::update_quantiles()
{
    auto sorted = samples_ms_;
    auto const n = std::min(added_, max_samples);
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(n));
    median_ = std::chrono::milliseconds(sorted[n / 2]);
    high_ = std::chrono::milliseconds(sorted[n * 9 / 10]);
}

} // namespace pomelohinge
