#ifndef POMELOHINGE_TESTS_SIMULATION_VIRTUAL_WORLD_HPP
#define POMELOHINGE_TESTS_SIMULATION_VIRTUAL_WORLD_HPP

#include "core/clock.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace pomelohinge::simulation {

/// Virtual time and a queue of messages that may be delayed, lost, doubled
/// or cut one way. Everything happens on one thread, in an order that the
/// seed decides.
class virtual_world
{
public:
    using action = std::function<void()>;

    explicit virtual_world(std::uint64_t seed) : random_(seed) {}

    time_point now() const { return now_; }
    std::mt19937_64& random() { return random_; }

    /// A number from 0 up to `below`.
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    duration draw_between(duration low, duration high)
    {
        return low +
            duration(static_cast<duration::rep>(
                draw(static_cast<std::uint64_t>((high - low).count()) + 1)));
    }

    void at(time_point when, action run)
    {
        queue_.emplace(std::make_pair(when, ++sequence_), std::move(run));
    }

    void after(duration wait, action run) { at(now_ + wait, std::move(run)); }

    /// Cuts messages from one place to another; the way back stays open.
    void cut(std::string const& from, std::string const& to)
    {
        cuts_.emplace(from, to);
    }

    void mend(std::string const& from, std::string const& to)
    {
        cuts_.erase({from, to});
    }

    void set_loss(double share) { loss_ = share; }

    bool is_cut(std::string const& from, std::string const& to) const
    {
        return cuts_.contains({from, to});
    }

    /// Delivers a message unless it is lost. Returns nothing: a sender
    /// learns of a loss by its own timeout only.
    void send(std::string const& from, std::string const& to, action deliver)
    {
        if (is_cut(from, to) || chance(loss_))
            return;
        after(draw_between(shortest_delay, longest_delay), std::move(deliver));
    }

    void run_until(time_point end)
    {
        while (!queue_.empty() && queue_.begin()->first.first <= end) {
            auto const it = queue_.begin();
            now_ = std::max(now_, it->first.first);
            auto const run = std::move(it->second);
            queue_.erase(it);
            run();
        }
        now_ = end;
    }

private:
    static constexpr duration shortest_delay = std::chrono::microseconds(200);
    static constexpr duration longest_delay = std::chrono::milliseconds(3);

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, action> queue_;
    std::set<std::pair<std::string, std::string>> cuts_;
    double loss_ = 0;
};

} // namespace pomelohinge::simulation

#endif
