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

/// How an upstream behaves.
enum class upstream_mode {
    healthy,
    /// Ten times slower.
    slow,
    /// Half of the requests get no answer.
    half_hanging,
    /// Status 500 to every request.
    wrong_status,
    /// Answers end before their length.
    truncated,
    /// Answers carry another request's id.
    crossed,
    /// Refuses new work with 503 and "not run".
    shedding,
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
    });
static_assert(is_ordered<stand_ins::upstream_mode>());

} // namespace pomelohinge

namespace pomelohinge::stand_ins {

/// What an upstream decides on an arriving request.
struct upstream_decision
{
    bool shed = false;
    bool hang = false;
    duration service_time{};
};

/// One upstream: its slots, its warmth and the ledger of what it ran.
class upstream_state
{
public:
    upstream_state(
        std::size_t slots, duration median, bool cold, std::uint64_t seed)
        : slots_(slots), median_(median), warmth_(cold ? 0.0 : 1.0),
          random_(seed)
    {
    }

    void set_mode(upstream_mode mode) { mode_ = mode; }
    upstream_mode mode() const { return mode_; }

    /// A request arrives.
    upstream_decision arrive(std::string const& payment)
    {
        auto const capacity = bearable();
        if (mode_ == upstream_mode::shedding || running_ >= capacity) {
            ++shed_;
            return {true, false, {}};
        }
        ++running_;
        most_running_ = std::max(most_running_, running_);
        if (!payment.empty())
            ++payments_[payment];
        ++runs_;
        return {false,
            mode_ == upstream_mode::half_hanging && (random_() & 1) != 0,
            draw_time()};
    }

    /// A request ends.
    void leave()
    {
        --running_;
        warmth_ = std::min(1.0, warmth_ + 1.0 / requests_to_warm);
    }

    std::uint64_t runs() const { return runs_; }
    std::uint64_t shed() const { return shed_; }
    std::size_t most_running() const { return most_running_; }
    std::map<std::string, std::uint64_t> const& payments() const
    {
        return payments_;
    }

private:
    /// Requests after which a cold upstream is warm.
    static constexpr double requests_to_warm = 100;
    /// How much slower a cold upstream is.
    static constexpr double cold_slowness = 4;
    static constexpr double slow_factor = 10;
    /// Spread of the lognormal service time.
    static constexpr double sigma = 0.35;

    std::size_t bearable() const
    {
        return std::max<std::size_t>(1,
            static_cast<std::size_t>(
                static_cast<double>(slots_) * warmth_ + 0.5));
    }

    duration draw_time()
    {
        std::lognormal_distribution<double> draw(0, sigma);
        auto factor = draw(random_) * (1 + cold_slowness * (1 - warmth_));
        if (mode_ == upstream_mode::slow)
            factor *= slow_factor;
        return std::chrono::duration_cast<duration>(median_ * factor);
    }

    std::size_t slots_;
    duration median_;
    double warmth_;
    std::mt19937_64 random_;
    upstream_mode mode_ = upstream_mode::healthy;
    std::size_t running_ = 0;
    std::size_t most_running_ = 0;
    std::uint64_t runs_ = 0;
    std::uint64_t shed_ = 0;
    std::map<std::string, std::uint64_t> payments_;
};

} // namespace pomelohinge::stand_ins

#endif
