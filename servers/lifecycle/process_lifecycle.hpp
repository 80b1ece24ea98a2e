#ifndef POMELOHINGE_SERVERS_LIFECYCLE_PROCESS_LIFECYCLE_HPP
#define POMELOHINGE_SERVERS_LIFECYCLE_PROCESS_LIFECYCLE_HPP

#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/entries/entry_answer.hpp"
#include "servers/lifecycle/process_chart.hpp"
#include "servers/requests/entry_state.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <functional>

namespace pomelohinge {

/// What the steps of a stop do. The callbacks are called on the thread of the
/// lifecycle, after the function has returned.
template <class Environment>
concept LifecycleEnvironment = requires(Environment& environment,
    duration delay, std::function<void()> work,
    std::function<void(std::size_t)> counted, planned_stop const& stop,
    process_state state)
{
    {
        environment.now()
        } -> std::same_as<time_point>;
    environment.after(delay, work);
    environment.announce_leave();
    environment.limit_requests(stop);
    environment.stop_listening();
    environment.refuse_requests();
    environment.count_open_requests(counted);
    environment.close_peers(delay, work);
    environment.stop_threads(work);
    environment.step_expired(state);
    environment.end();
};

/// Runs the chart of a daemon. No step can keep the process from ending, since
/// each has a deadline.
template <class Environment>
class process_lifecycle
{
public:
    /// A planned stop takes up to `stop_timeout`.
    process_lifecycle(chart<process_chart> const& definition,
        Environment& environment, duration stop_timeout)
        : environment_(environment), stop_timeout_(stop_timeout),
          instance_(definition)
    {
        // The environment may hold this object and is complete only here.
        static_assert(LifecycleEnvironment<Environment>);
    }

    process_state state() const { return instance_.state(); }
    bool is_stopping() const { return state() > process_state::serving; }

    /// Handles an event that comes from outside of the steps.
    void handle(process_event event) { fire(event); }

    /// The number of requests without an answer, as last counted.
    std::size_t open_requests() const { return open_requests_; }

    // Interface for the chart.

    bool check(process_guard guard) const
    {
        switch (guard) {
        case process_guard::refuses_requests:
            return refuses_requests_;
        }
        return false;
    }

    void perform(process_action action)
    {
        switch (action) {
        case process_action::announce_leave:
            return environment_.announce_leave();
        case process_action::limit_requests:
            return environment_.limit_requests(stop_);
        case process_action::stop_listening:
            return environment_.stop_listening();
        case process_action::count_requests:
            return count_requests();
        case process_action::refuse_requests:
            refuses_requests_ = true;
            return environment_.refuse_requests();
        case process_action::close_peers:
            return environment_.close_peers(
                step_time() / 3, closed_callback(process_state::closing_peers));
        case process_action::stop_threads:
            return environment_.stop_threads(
                closed_callback(process_state::stopping_threads));
        case process_action::abandon_step:
            return environment_.step_expired(expired_);
        case process_action::end:
            return environment_.end();
        }
    }

private:
    /// Callers may use an entry answer for a few times its time to live after
    /// the VM has left the answers.
    static constexpr duration max_listen_after_leave = 3 * entry_time_to_live;

    /// Share of the stop timeout after which requests do not go on.
    static constexpr double answers_share = 0.9;

    /// Time before that in which the last answers are written.
    static constexpr duration last_answer_time = std::chrono::milliseconds(100);

    /// Share of the stop timeout that each later step may take, and its limits.
    static constexpr double step_share = 0.03;
    static constexpr duration min_step_time = std::chrono::milliseconds(50);
    static constexpr duration max_step_time = std::chrono::seconds(1);

    static constexpr duration count_period = std::chrono::milliseconds(50);

    duration share_of_stop(double share) const
    {
        return std::chrono::duration_cast<duration>(stop_timeout_ * share);
    }

    duration step_time() const
    {
        return std::clamp(
            share_of_stop(step_share), min_step_time, max_step_time);
    }

    void fire(process_event event)
    {
        if (event == process_event::stop_requested &&
            state() == process_state::serving)
            schedule_stop();
        auto const before = state();
        instance_.fire(event, *this);
        if (state() != before && !instance_.is_final())
            start_deadline();
    }

    void schedule_stop()
    {
        auto const now = environment_.now();
        answers_end_at_ = now + share_of_stop(answers_share);
        stop_.ends_at = answers_end_at_ - last_answer_time;
        stop_.callers_left_at =
            now + std::min(max_listen_after_leave, share_of_stop(0.5));
    }

    time_point deadline() const
    {
        switch (state()) {
        case process_state::leaving:
            return stop_.callers_left_at;
        case process_state::draining:
            return stop_.ends_at;
        case process_state::writing_answers:
            return answers_end_at_;
        case process_state::closing_peers:
        case process_state::stopping_threads:
            return environment_.now() + step_time();
        case process_state::starting:
        case process_state::serving:
        case process_state::ended:
            break;
        }
        return time_point::max();
    }

    void start_deadline()
    {
        auto const at = deadline();
        if (at == time_point::max())
            return;
        environment_.after(
            std::max<duration>(at - environment_.now(), duration::zero()),
            [this, expiring = state()] {
                if (state() != expiring)
                    return;
                expired_ = expiring;
                fire(process_event::expired);
            });
    }

    /// An event for the end of the step of `step`, unless the chart has left
    /// it before.
    std::function<void()> closed_callback(process_state step)
    {
        return [this, step] {
            if (state() == step)
                fire(process_event::closed);
        };
    }

    void count_requests()
    {
        auto const number = ++counts_;
        environment_.after(count_period, [this, number] {
            environment_.count_open_requests([this, number](std::size_t open) {
                if (number != counts_)
                    return;
                open_requests_ = open;
                fire(open > 0 ? process_event::requests_open
                              : process_event::requests_ended);
            });
        });
    }

    Environment& environment_;
    duration const stop_timeout_;
    chart_instance<process_chart> instance_;
    planned_stop stop_;
    time_point answers_end_at_{};
    /// The state whose deadline has passed last.
    process_state expired_{};
    bool refuses_requests_ = false;
    std::size_t open_requests_ = 0;
    /// Number of counts begun; an earlier one is ignored.
    std::size_t counts_ = 0;
};

} // namespace pomelohinge

#endif
