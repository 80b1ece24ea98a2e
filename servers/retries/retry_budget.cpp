#include "servers/retries/retry_budget.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// Number of slices into which the window is divided for counting.
constexpr int slices_per_window = 20;

/// Fraction of the bound that may be used. A request that is counted here may
/// lie just outside a window that contains its retries.
constexpr double usable_fraction = 0.85;

} // namespace

retry_budget::slice& retry_budget::current_slice(
    std::string const& service, time_point now)
{
    auto& it = services_[service];
    remove_expired(it, now);
    auto const slice_length = bounds_.retry_window / slices_per_window;
    if (it.slices.empty() || now - it.slices.back().begin >= slice_length)
        it.slices.push_back({now, 0, 0});
    return it.slices.back();
}

void retry_budget::remove_expired(history& it, time_point now) const
{
    while (!it.slices.empty() &&
        now - it.slices.front().begin > bounds_.retry_window)
        it.slices.pop_front();
}

void retry_budget::request_began(std::string const& service, time_point now)
{
    current_slice(service, now).requests += 1;
}

bool retry_budget::allows(std::string const& service, time_point now)
{
    auto& it = services_[service];
    remove_expired(it, now);
    double requests = 0;
    double retries = 0;
    for (auto const& slice : it.slices) {
        requests += slice.requests;
        retries += slice.retries;
    }
    auto const allowed = (bounds_.retry_ratio * requests +
                             bounds_.retry_extra / effective_vms(now)) *
        usable_fraction;
    return retries + 1 <= allowed;
}

bool retry_budget::take(std::string const& service, time_point now)
{
    if (!allows(service, now))
        return false;
    current_slice(service, now).retries += 1;
    return true;
}

void retry_budget::set_vms(std::size_t vms, time_point now)
{
    auto const n = std::max<std::size_t>(vms, 1);
    if (vms_ >= peak_vms_ || now >= peak_until_) {
        peak_vms_ = vms_;
        peak_until_ = now + bounds_.retry_window;
    }
    vms_ = n;
}

double retry_budget::effective_vms(time_point now) const
{
    return static_cast<double>(
        now < peak_until_ ? std::max(vms_, peak_vms_) : vms_);
}

} // namespace pomelohinge
