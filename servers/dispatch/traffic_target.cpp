#include "servers/dispatch/traffic_target.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

/// A cold target works at about half its speed.
constexpr double cold_slowness = 2;

/// Requests that may be sent at once to a cold target.
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
        cold_pace_.reset();
        return;
    }
    bucket_rate const pace{*rate, cold_burst};
    if (cold_pace_)
        cold_pace_->change_rate(pace, now);
    else
        cold_pace_.emplace(pace, 0, now);
}

bool traffic_target::has_room(time_point now)
{
    if (in_flight_ + others_ >= record_.slots)
        return false;
    return !is_cold(now) || !cold_pace_ || cold_pace_->tokens(now) >= 1;
}

double traffic_target::load_with_one_more(time_point now) const
{
    auto const work = static_cast<double>(in_flight_ + others_ + 1) /
        static_cast<double>(std::max<std::int64_t>(record_.slots, 1));
    return is_cold(now) ? work * cold_slowness : work;
}

void traffic_target::began(time_point now)
{
    ++in_flight_;
    began_at_ = now;
    if (is_cold(now) && cold_pace_)
        cold_pace_->take(now);
}

void traffic_target::set_others(std::int64_t in_flight, time_point now)
{
    if (in_flight == others_)
        return;
    others_ = in_flight;
    others_changed_at_ = now;
}

time_point traffic_target::used_at() const
{
    return std::max(
        {began_at_, others_changed_at_, health_.last_observed_at()});
}

target_report traffic_target::take_report()
{
    auto report = std::exchange(news_, {});
    report.in_flight =
        static_cast<std::uint32_t>(std::max<std::int64_t>(in_flight_, 0));
    return report;
}

} // namespace pomelohinge
