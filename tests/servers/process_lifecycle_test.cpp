#include "servers/lifecycle/process_lifecycle.hpp"

#include "core/timer_service.hpp"
#include "tests/servers/test_charts.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// Records the steps of a stop. Each can be made to hang.
class fake_process
{
public:
    time_point now() const { return now_; }
    void after(duration delay, std::function<void()> work)
    {
        timers_.push_back(std::make_unique<timer_service::subscription>(
            service_.once(now_, delay, std::move(work))));
    }
    void announce_leave() { steps += "leave "; }
    void limit_requests(planned_stop const& it) { stop = it; }
    void stop_listening() { steps += "deaf "; }
    void refuse_requests() { steps += "refuse "; }
    void count_open_requests(std::function<void(std::size_t)> done)
    {
        if (!counts_hang)
            done(open);
    }
    void close_peers(duration grace, std::function<void()> closed)
    {
        EXPECT_GT(grace, duration::zero());
        steps += "peers ";
        if (!peers_hang)
            after(duration::zero(), std::move(closed));
    }
    void stop_threads(std::function<void()> closed)
    {
        steps += "threads ";
        if (!threads_hang)
            after(duration::zero(), std::move(closed));
    }
    void step_expired(process_state it)
    {
        steps += std::string(to_name(it)) + "! ";
    }
    void end()
    {
        steps += "end";
        ended_at = now_;
    }

    void run_for(duration span)
    {
        for (auto const until = now_ + span; now_ < until;) {
            now_ += std::chrono::milliseconds(10);
            service_.run_due(now_);
        }
    }

    std::string steps;
    planned_stop stop;
    std::size_t open = 0;
    bool counts_hang = false;
    bool peers_hang = false;
    bool threads_hang = false;
    time_point ended_at{};

private:
    time_point now_{std::chrono::hours(1)};
    timer_service service_;
    std::vector<std::unique_ptr<timer_service::subscription>> timers_;
};

class process_lifecycle_test : public testing::Test
{
protected:
    static constexpr duration stop_timeout = std::chrono::seconds(6);

    void start_and_request_stop()
    {
        lifecycle_.handle(process_event::started);
        lifecycle_.handle(process_event::stop_requested);
        requested_at_ = process_.now();
    }

    duration stop_time() const { return process_.ended_at - requested_at_; }

    chart_list charts_ = load_all_charts();
    fake_process process_;
    process_lifecycle<fake_process> lifecycle_{
        charts_.process, process_, stop_timeout};
    time_point requested_at_{};
};

TEST_F(process_lifecycle_test, stop_without_requests_runs_all_steps_in_order)
{
    start_and_request_stop();
    process_.run_for(std::chrono::seconds(4));
    EXPECT_EQ(process_.steps, "leave deaf refuse peers threads end");
    EXPECT_LT(stop_time(), std::chrono::milliseconds(3300));
}

TEST_F(process_lifecycle_test, stop_during_start_closes_and_ends)
{
    lifecycle_.handle(process_event::stop_requested);
    process_.run_for(std::chrono::seconds(1));
    EXPECT_EQ(process_.steps, "peers threads end");
}

TEST_F(process_lifecycle_test, second_stop_request_changes_nothing)
{
    start_and_request_stop();
    process_.run_for(std::chrono::seconds(1));
    lifecycle_.handle(process_event::stop_requested);
    process_.run_for(std::chrono::seconds(4));
    EXPECT_EQ(process_.steps, "leave deaf refuse peers threads end");
}

TEST_F(process_lifecycle_test, request_that_arrives_before_refusal_is_awaited)
{
    start_and_request_stop();
    process_.run_for(std::chrono::milliseconds(3060));
    EXPECT_EQ(process_.steps, "leave deaf refuse ");
    process_.open = 1;
    process_.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(process_.steps, "leave deaf refuse ");
    process_.open = 0;
    process_.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(process_.steps, "leave deaf refuse peers threads end");
}

TEST_F(process_lifecycle_test, open_request_has_answer_time_and_is_reported)
{
    process_.open = 2;
    start_and_request_stop();
    process_.run_for(stop_timeout);
    EXPECT_EQ(process_.steps, "leave deaf peers threads end");
    EXPECT_EQ(lifecycle_.open_requests(), 2U);
    EXPECT_GT(stop_time(), process_.stop.ends_at - requested_at_);
}

TEST_F(process_lifecycle_test, steps_that_hang_do_not_delay_end_over_timeout)
{
    process_.counts_hang = true;
    process_.peers_hang = true;
    process_.threads_hang = true;
    start_and_request_stop();
    process_.run_for(stop_timeout);
    EXPECT_EQ(process_.steps,
        "leave deaf peers closing_peers! threads stopping_threads! end");
    EXPECT_LT(stop_time(), stop_timeout);
}

} // namespace
} // namespace pomelohinge
