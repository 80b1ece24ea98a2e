#include "servers/dispatch/traffic_target.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

/// Factor on the load of a cold target, which works at about half its speed.
constexpr double cold_load_factor = 2;

/// Requests that may be sent to a cold target in one burst.
constexpr double cold_burst = 1;

} // namespace

void traffic_target::set_record(target_record record)
{
    if (record.address != record_.address)
        replaced_ = false;
    record_ = std::move(record);
}

void traffic_target::set_cold_rate(std::optional<double> rate, time_point now)
{
    if (!rate) {
        cold_bucket_.reset();
        return;
    }
    bucket_rate const bucket{*rate, cold_burst};
    if (cold_bucket_)
        cold_bucket_->change_rate(bucket, now);
    else
        cold_bucket_.emplace(bucket, 0, now);
}

bool traffic_target::has_capacity(time_point now)
{
    if (in_flight_ + in_flight_elsewhere_ >= record_.slots)
        return false;
    return !is_cold(now) || !cold_bucket_ || cold_bucket_->tokens(now) >= 1;
}

double traffic_target::load_with_one_more(time_point now) const
{
    auto const load =
        static_cast<double>(in_flight_ + in_flight_elsewhere_ + 1) /
        static_cast<double>(std::max<std::int64_t>(record_.slots, 1));
    return is_cold(now) ? load * cold_load_factor : load;
}

void traffic_target::request_started(time_point now)
{
    ++in_flight_;
    last_started_at_ = now;
    if (is_cold(now) && cold_bucket_)
        cold_bucket_->take(now);
}

void traffic_target::set_in_flight_elsewhere(
    std::int64_t in_flight, time_point now)
{
    if (in_flight == in_flight_elsewhere_)
        return;
    in_flight_elsewhere_ = in_flight;
    elsewhere_changed_at_ = now;
}

time_point traffic_target::last_used_at() const
{
    return std::max(
        {last_started_at_, elsewhere_changed_at_, health_.last_observed_at()});
}

target_report traffic_target::take_report()
{
    auto report = std::exchange(pending_report_, {});
    report.in_flight =
        static_cast<std::uint32_t>(std::max<std::int64_t>(in_flight_, 0));
    return report;
}

} // namespace pomelohinge
