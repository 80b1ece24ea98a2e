#ifndef POMELOHINGE_STAND_INS_UPSTREAM_STATE_HPP
#define POMELOHINGE_STAND_INS_UPSTREAM_STATE_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace pomelohinge::stand_ins {

/// The behaviour of an upstream, healthy or with a fault.
enum class upstream_mode {
    healthy,
    /// Service times are ten times as long.
    slow,
    /// Half of the requests, chosen at random, run but get no answer.
    half_hanging,
    /// Every request is answered with status 500.
    wrong_status,
    /// Answers are shorter than their `Content-Length`.
    truncated,
    /// Answers carry the id of another request.
    crossed,
    /// Every request is refused with status 503 and the outcome `not_run`.
    shedding,
    /// Half of the requests, chosen at random, are refused as in `shedding`.
    /// Half of all answers are sent once more on their connection, during the
    /// next request.
    repeating,
};

} // namespace pomelohinge::stand_ins

namespace pomelohinge {

template <>
inline constexpr auto name_table<stand_ins::upstream_mode> =
    make_name_table<stand_ins::upstream_mode>({
        {stand_ins::upstream_mode::healthy, "healthy"},
        {stand_ins::upstream_mode::slow, "slow"},
        {stand_ins::upstream_mode::half_hanging, "half_hanging"},
        {stand_ins::upstream_mode::wrong_status, "wrong_status"},
        {stand_ins::upstream_mode::truncated, "truncated"},
        {stand_ins::upstream_mode::crossed, "crossed"},
        {stand_ins::upstream_mode::shedding, "shedding"},
        {stand_ins::upstream_mode::repeating, "repeating"},
    });
static_assert(is_ordered<stand_ins::upstream_mode>());

} // namespace pomelohinge

namespace pomelohinge::stand_ins {

/// How an upstream handles one request.
struct upstream_decision
{
    /// The request is refused without running.
    bool shed = false;
    /// The request runs but gets no answer.
    bool hang = false;
    /// Time for which the request occupies its slot.
    duration service_time{};
};

/// The state of one upstream: slots, warm-up and counts of what it ran.
class upstream_state
{
public:
    upstream_state(
        std::size_t slots, duration median, bool cold, std::uint64_t seed)
        : slots_(slots), median_(median), warm_up_progress_(cold ? 0.0 : 1.0),
          random_(seed)
    {
    }

    void set_mode(upstream_mode mode) { mode_ = mode; }
    upstream_mode mode() const { return mode_; }

    /// Decides on a new request. Unless it is shed, it occupies a slot until
    /// `end_request()`. `payment` is the payment id, empty if there is none.
    upstream_decision begin_request(std::string const& payment)
    {
        auto const limit = capacity();
        if (refuses() || running_ >= limit) {
            ++shed_;
            return {true, false, {}};
        }
        ++running_;
        max_running_ = std::max(max_running_, running_);
        if (!payment.empty())
            ++payments_[payment];
        ++runs_;
        return {false, mode_ == upstream_mode::half_hanging && draw_half(),
            draw_service_time()};
    }

    /// Returns whether an answer is to be sent once more.
    bool repeats_answer()
    {
        return mode_ == upstream_mode::repeating && draw_half();
    }

    /// Returns the time from the arrival of a request to a copy of an earlier
    /// answer.
    duration draw_copy_delay()
    {
        return draw_half() ? duration::zero() : median_ / 2;
    }

    /// Frees the slot of a finished request.
    void end_request()
    {
        --running_;
        warm_up_progress_ =
            std::min(1.0, warm_up_progress_ + 1.0 / warm_up_requests);
    }

    std::uint64_t runs() const { return runs_; }
    std::uint64_t shed() const { return shed_; }
    std::size_t max_running() const { return max_running_; }
    /// Runs by payment id.
    std::map<std::string, std::uint64_t> const& payments() const
    {
        return payments_;
    }

private:
    /// Finished requests after which a cold upstream is warm.
    static constexpr double warm_up_requests = 100;
    /// Relative increase of the service time of an entirely cold upstream:
    /// with 4, requests take five times as long.
    static constexpr double cold_slowdown = 4;
    /// Factor of the service time in the mode `slow`.
    static constexpr double slow_factor = 10;
    /// Standard deviation of the logarithm of the lognormal service time.
    static constexpr double service_time_sigma = 0.35;

    /// Slots that requests may occupy now: during warm-up a share of all slots,
    /// at least one.
    std::size_t capacity() const
    {
        return std::max<std::size_t>(1,
            static_cast<std::size_t>(
                static_cast<double>(slots_) * warm_up_progress_ + 0.5));
    }

    /// Returns true for half of the calls, chosen at random.
    bool draw_half() { return (random_() & 1) != 0; }

    /// Returns whether the mode refuses a request.
    bool refuses()
    {
        return mode_ == upstream_mode::shedding ||
            (mode_ == upstream_mode::repeating && draw_half());
    }

    duration draw_service_time()
    {
        std::lognormal_distribution<double> draw(0, service_time_sigma);
        auto factor =
            draw(random_) * (1 + cold_slowdown * (1 - warm_up_progress_));
        if (mode_ == upstream_mode::slow)
            factor *= slow_factor;
        return std::chrono::duration_cast<duration>(median_ * factor);
    }

    std::size_t slots_;
    /// Median service time of a warm upstream.
    duration median_;
    /// Progress of the warm-up, from 0 (cold) to 1 (warm).
    double warm_up_progress_;
    std::mt19937_64 random_;
    upstream_mode mode_ = upstream_mode::healthy;
    std::size_t running_ = 0;
    std::size_t max_running_ = 0;
    std::uint64_t runs_ = 0;
    std::uint64_t shed_ = 0;
    std::map<std::string, std::uint64_t> payments_;
};

} // namespace pomelohinge::stand_ins

#endif
