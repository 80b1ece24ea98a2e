#include "servers/dispatch/traffic_target.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

/// Factor on the load of a cold target, which works at about half its speed.
constexpr double cold_load_factor = 2;

/// Assumed age of the requests whose ends a report counts.
constexpr duration report_age = std::chrono::milliseconds(400);

/// Requests that may be sent to a cold target in one burst.
constexpr double cold_burst = 1;

} // namespace

void traffic_target::set_record(target_record record)
{
    if (record.address != record_.address)
        replacement_.record_move();
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

void traffic_target::record_reached(time_point sent_at, time_point now)
{
    last_reached_at_ = std::max(last_reached_at_, sent_at);
    path_.record_reached(now);
}

void traffic_target::record_report(
    target_report report, service_baseline const& service, time_point now)
{
    if (path_.is_confirmed(now) || report.answers > 0)
        report.silences = 0;
    if (report.answers > 0)
        path_.record_reached_elsewhere(now);
    if (report.answers > 0 || report.faults > 0)
        last_reached_at_ = std::max(last_reached_at_, now - report_age);
    health_.record_report(report, service, now);
}

bool traffic_target::is_in_use(duration window, time_point now) const
{
    bool const is_sending = in_flight_ > 0 &&
        path_.state() == path_state::open && now - last_started_at_ < window;
    return is_sending || now - last_reached_at_ < window;
}

target_report traffic_target::take_report()
{
    auto report = std::exchange(pending_report_, {});
    if (path_.state() == path_state::open)
        report.in_flight =
            static_cast<std::uint32_t>(std::max<std::int64_t>(in_flight_, 0));
    reported_in_flight_ = report.in_flight;
    return report;
}

} // namespace pomelohinge
