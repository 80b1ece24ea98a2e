#ifndef POMELOHINGE_TESTS_SIMULATION_EVENT_SIMULATOR_HPP
#define POMELOHINGE_TESTS_SIMULATION_EVENT_SIMULATOR_HPP

#include "core/clock.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace pomelohinge::simulation {

/// A discrete-event simulator: a virtual clock, a queue of events and a
/// network that delays and loses messages and can be blocked in one
/// direction. It runs on one thread; the seed determines the order of events.
class event_simulator
{
public:
    using action = std::function<void()>;

    /// The virtual time at which a run begins.
    static constexpr time_point start_time{std::chrono::hours(1)};

    explicit event_simulator(std::uint64_t seed) : random_(seed) {}

    time_point now() const { return now_; }
    std::mt19937_64& random() { return random_; }

    /// Draws a number in [0, `below`).
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    /// Returns true with the given probability.
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) <
            probability;
    }

    /// Draws a duration in [`min`, `max`].
    duration draw_between(duration min, duration max)
    {
        return min +
            duration(static_cast<duration::rep>(
                draw(static_cast<std::uint64_t>((max - min).count()) + 1)));
    }

    /// Schedules an event. Events of equal time run in the order in which
    /// they were scheduled.
    void schedule_at(time_point when, action run)
    {
        queue_.emplace(std::make_pair(when, ++sequence_), std::move(run));
    }

    void schedule_after(duration delay, action run)
    {
        schedule_at(now_ + delay, std::move(run));
    }

    /// Drops all messages from one node to another; the opposite direction
    /// stays open.
    void block_link(std::string const& from, std::string const& to)
    {
        blocked_links_.emplace(from, to);
    }

    void unblock_link(std::string const& from, std::string const& to)
    {
        blocked_links_.erase({from, to});
    }

    /// Drops all messages from and to a node, as after a loss of its power.
    void isolate(std::string const& node) { isolated_.insert(node); }

    void reconnect(std::string const& node) { isolated_.erase(node); }

    void set_loss_probability(double probability)
    {
        loss_probability_ = probability;
    }

    bool is_blocked(std::string const& from, std::string const& to) const
    {
        return blocked_links_.contains({from, to}) ||
            isolated_.contains(from) || isolated_.contains(to);
    }

    /// Delivers a message after a random delay unless it is lost. The sender
    /// gets no result, so it can detect a loss only by its own timeout.
    void send(std::string const& from, std::string const& to, action deliver)
    {
        if (is_blocked(from, to) || chance(loss_probability_))
            return;
        schedule_after(draw_between(min_delay, max_delay), std::move(deliver));
    }

    /// Runs the events up to and including `end` and sets the clock to `end`.
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
    static constexpr duration min_delay = std::chrono::microseconds(200);
    static constexpr duration max_delay = std::chrono::milliseconds(3);

    std::mt19937_64 random_;
    time_point now_ = start_time;
    std::uint64_t sequence_ = 0;
    /// By time and sequence number.
    std::map<std::pair<time_point, std::uint64_t>, action> queue_;
    /// Pairs of sender and receiver.
    std::set<std::pair<std::string, std::string>> blocked_links_;
    std::set<std::string> isolated_;
    double loss_probability_ = 0;
};

} // namespace pomelohinge::simulation

#endif
