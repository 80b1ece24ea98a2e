#include "servers/dispatch/dispatcher.hpp"
#include "tests/servers/test_charts.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <set>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// The entries of one data centre, which exchange reports, before the targets
/// of one service. Runs in virtual time.
class floor_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    static constexpr double floor = 0.7;
    static constexpr duration floor_window = 2s;
    static constexpr duration latency = 120ms;
    static constexpr duration connect_timeout = 350ms;
    static constexpr duration report_period = 200ms;
    static constexpr duration step = 10ms;

    floor_test() : random_(GetParam()), charts_(load_all_charts()) {}

    void start(std::size_t entries, std::size_t targets)
    {
        auto next = std::make_shared<policy>();
        next->index = std::make_shared<configuration_index>(configuration(), 1);
        std::vector<target_record> records;
        for (std::size_t it = 0; it < targets; ++it) {
            target_record record;
            record.id = target_id("t" + std::to_string(it));
            record.service = service_id("shop");
            record.data_centre = data_centre_id("east");
            record.address = "10.0.0." + std::to_string(it) + ":80";
            record.slots = 3;
            records.push_back(std::move(record));
        }
        next->targets = std::make_shared<target_catalogue>(records, 1);
        auto members = std::make_shared<fleet_members>();
        for (std::size_t it = 0; it < entries; ++it) {
            fleet_member member;
            member.record.vm = vm_id("vm-" + std::to_string(it));
            member.record.data_centre = data_centre_id("east");
            member.alive = member.entry = true;
            members->push_back(member);
        }
        next->members = members;
        next->ready = true;
        for (auto const& it : *members) {
            entries_.push_back(std::make_unique<dispatcher>(charts_.target,
                it.record.vm, it.record.data_centre, random_(),
                [](std::string const&) { return false; }));
            entries_.back()->set_floor(floor);
            entries_.back()->adopt(next, clock_.now());
        }
    }

    /// Makes `entry` lose its path to the target.
    void cut(std::size_t entry, std::string const& target)
    {
        cuts_.insert({entry, target});
    }

    /// Makes the target fail this share of its requests.
    void fail(std::string const& target, double share)
    {
        failing_[target] = share;
    }

    /// Sends `per_second` requests to the fleet for `length`. Every sixth is
    /// of the most urgent priority, and `retryable_share` of them may be
    /// retried.
    void run(duration length, double per_second, double retryable_share)
    {
        auto const end = clock_.now() + length;
        std::uniform_real_distribution<double> draw(0, 1);
        auto const per_step = per_second * to_seconds(step);
        while (clock_.now() < end) {
            clock_.advance(step);
            end_attempts();
            for (double due = per_step; draw(random_) < due; --due)
                send(draw(random_) < retryable_share);
            if (clock_.now() >= next_report_at_)
                exchange_reports();
            for (auto& it : entries_)
                it->tick(clock_.now());
        }
    }

    /// The smallest share of `targets` that got a request within any two
    /// seconds after `from`.
    double min_share_in_use(
        std::set<std::string> const& targets, time_point from) const
    {
        double smallest = 1;
        for (auto at = from + floor_window; at <= clock_.now(); at += 100ms) {
            auto const used = std::count_if(
                targets.begin(), targets.end(), [&](auto const& it) {
                    return has_arrival(it, at - floor_window, at);
                });
            smallest = std::min(smallest,
                static_cast<double>(used) /
                    static_cast<double>(targets.size()));
        }
        return smallest;
    }

    manual_clock clock_;

private:
    struct pending_attempt
    {
        std::size_t entry;
        target_record target;
        attempt_result result;
        target_state state;
        duration length;
        time_point ends_at;

        bool operator<(pending_attempt const& other) const
        {
            return ends_at > other.ends_at;
        }
    };

    bool has_arrival(
        std::string const& target, time_point from, time_point to) const
    {
        auto const found = arrivals_.find(target);
        if (found == arrivals_.end())
            return false;
        auto const it =
            std::lower_bound(found->second.begin(), found->second.end(), from);
        return it != found->second.end() && *it < to;
    }

    void send(bool retryable)
    {
        auto const entry = random_() % entries_.size();
        placement_request request;
        request.service = service_id("shop");
        request.priority = random_() % 6 == 0 ? 0 : 1;
        request.retryable = retryable;
        request.start_deadline = clock_.now() + 200ms;
        auto const decided = entries_[entry]->submit(
            request,
            [this, entry](placement_decision it) { begin_attempt(entry, it); },
            clock_.now());
        if (auto const* const it = std::get_if<placement_decision>(&decided))
            begin_attempt(entry, *it);
    }

    void begin_attempt(std::size_t entry, placement_decision const& decision)
    {
        auto const* const it = std::get_if<placement>(&decision);
        if (it == nullptr)
            return;
        auto const& target = it->target;
        if (cuts_.contains({entry, target.id.text()})) {
            attempts_.push({entry, target, attempt_result::connect_failed,
                it->reason.state, connect_timeout,
                clock_.now() + connect_timeout});
            return;
        }
        arrivals_[target.id.text()].push_back(clock_.now());
        std::uniform_real_distribution<double> draw(0, 1);
        auto const failing = failing_.find(target.id.text());
        bool const fails =
            failing != failing_.end() && draw(random_) < failing->second;
        attempts_.push({entry, target,
            fails ? attempt_result::server_error : attempt_result::answered,
            it->reason.state, latency, clock_.now() + latency});
    }

    void end_attempts()
    {
        while (!attempts_.empty() && attempts_.top().ends_at <= clock_.now()) {
            auto const it = attempts_.top();
            attempts_.pop();
            entries_[it.entry]->attempt_ended(
                it.target, it.result, it.length, clock_.now());
            entries_[it.entry]->request_ended(it.target.service,
                it.result == attempt_result::answered, it.state);
        }
    }

    void exchange_reports()
    {
        next_report_at_ = clock_.now() + report_period;
        for (std::size_t it = 0; it < entries_.size(); ++it) {
            traffic_report report;
            report.targets = entries_[it]->take_reports();
            reports_.add_report(
                std::to_string(it), false, std::move(report), clock_.now());
        }
        for (std::size_t it = 0; it < entries_.size(); ++it)
            entries_[it]->apply_report(
                reports_.report_for(std::to_string(it), false), clock_.now());
    }

    std::mt19937_64 random_;
    chart_list charts_;
    std::vector<std::unique_ptr<dispatcher>> entries_;
    std::set<std::pair<std::size_t, std::string>> cuts_;
    std::map<std::string, double> failing_;
    std::map<std::string, std::vector<time_point>> arrivals_;
    std::priority_queue<pending_attempt> attempts_;
    report_aggregator reports_;
    time_point next_report_at_{};
};

std::set<std::string> names(std::size_t first, std::size_t end)
{
    std::set<std::string> result;
    for (auto it = first; it < end; ++it)
        result.insert("t" + std::to_string(it));
    return result;
}

/// Attempts of entries without a path counted as use of a target and occupied
/// its slots, so that the entries with a path sent it nothing.
TEST_P(floor_test, targets_that_some_entries_cannot_reach_stay_in_use)
{
    auto const unreachable = names(0, 12);
    start(6, 30);
    run(3s, 150, 0.25);
    for (std::size_t entry = 0; entry < 4; ++entry)
        for (auto const& it : unreachable)
            cut(entry, it);
    auto const from = clock_.now() + 1s;
    run(10s, 150, 0.25);
    EXPECT_GE(min_share_in_use(unreachable, from), floor);
}

/// The floor was a share of all targets, so the few healthy ones among many
/// disturbed ones could stay unused for any time.
TEST_P(floor_test, healthy_targets_stay_in_use_while_most_others_are_disturbed)
{
    start(6, 30);
    for (auto const& it : names(0, 6))
        fail(it, 0.05);
    for (auto const& it : names(6, 30))
        fail(it, 0.4);
    run(3s, 60, 0);
    auto const from = clock_.now();
    run(20s, 60, 0);
    EXPECT_GE(min_share_in_use(names(0, 6), from), floor);
}

TEST_P(floor_test, all_healthy_targets_stay_in_use_at_low_load)
{
    start(4, 24);
    run(3s, 40, 0);
    auto const from = clock_.now();
    run(20s, 40, 0);
    for (auto const& it : names(0, 24))
        EXPECT_GE(min_share_in_use({it}, from), floor) << it;
}

INSTANTIATE_TEST_SUITE_P(
    seeds, floor_test, testing::Range<std::uint64_t>(1, 31));

} // namespace
} // namespace pomelohinge
