#ifndef POMELOHINGE_TESTS_SERVERS_PLACEMENT_WORLD_HPP
#define POMELOHINGE_TESTS_SERVERS_PLACEMENT_WORLD_HPP

#include "servers/dispatch/dispatcher.hpp"
#include "tests/servers/test_charts.hpp"

#include <map>
#include <queue>
#include <set>

namespace pomelohinge {

using namespace std::chrono_literals;

/// A kind of request that callers send to the service.
struct request_kind
{
    std::string route;
    double per_second = 0;
    duration work{};
    duration goal{};
    duration deadline{};
    std::int64_t priority = 0;
    bool idempotent = false;
};

/// What became of the requests of one kind.
struct kind_result
{
    double sent = 0;
    double in_goal = 0;
    double late = 0;
    double failed = 0;
    double refused = 0;
    /// Attempts, and those at targets that were known to fail.
    double attempts = 0;
    double untrusted_attempts = 0;
    /// Attempts that found all slots of the target taken.
    double shed = 0;
    double untrusted_shed = 0;
    /// Attempts that failed at targets that were not known to fail.
    double unexpected_faults = 0;
    /// Refusals that came later than an eighth of the goal.
    double late_refusals = 0;

    double goal_share() const { return in_goal / sent; }
    double untrusted_share() const { return untrusted_attempts / attempts; }
};

struct placement_world_settings
{
    placement_mode mode = placement_mode::earliest;
    std::uint64_t seed = 1;
    std::size_t vms = 12;
    std::size_t targets = 64;
    std::int64_t slots = 6;
    /// Part of the targets that fails most requests at any time, and for how
    /// long each fails; zero if it is always the same ones.
    double failing_share = 0.3;
    duration failing_for = 6s;
};

/// VMs of one data centre that send to the targets of one service, in virtual
/// time. Targets fail requests while they are disturbed, and shed those for
/// which they have no slot.
class placement_world
{
public:
    explicit placement_world(placement_world_settings const& settings)
        : settings_(settings), random_(settings.seed),
          charts_(load_all_charts())
    {
        std::uniform_real_distribution<double> draw(0, 1);
        auto next = std::make_shared<policy>();
        next->index = std::make_shared<configuration_index>(configuration(), 1);
        std::vector<target_record> records;
        for (std::size_t it = 0; it < settings_.targets; ++it) {
            target_record record;
            record.id = target_id("t" + std::to_string(it));
            record.service = service_id("shop");
            record.data_centre = data_centre_id("east");
            record.address = "10.0.0." + std::to_string(it) + ":80";
            record.slots = settings_.slots;
            targets_[record.id.text()].phase = draw(random_);
            records.push_back(std::move(record));
        }
        next->targets = std::make_shared<target_catalogue>(records, 1);
        auto members = std::make_shared<fleet_members>();
        for (std::size_t it = 0; it < settings_.vms; ++it) {
            fleet_member member;
            member.record.vm = vm_id("vm-" + std::to_string(it));
            member.record.data_centre = data_centre_id("east");
            member.alive = member.entry = true;
            members->push_back(member);
        }
        next->members = members;
        next->ready = true;
        for (auto const& it : *members) {
            vms_.push_back(std::make_unique<dispatcher>(charts_.target,
                it.record.vm, it.record.data_centre, random_(),
                [](std::string const&) { return true; }));
            vms_.back()->set_floor(floor);
            vms_.back()->set_placement({settings_.mode});
            vms_.back()->adopt(next, clock_.now());
        }
        loads_.resize(settings_.vms);
        next_report_at_.resize(settings_.vms);
        for (auto& it : next_report_at_)
            it = clock_.now() + from_seconds(draw(random_) * 0.2);
    }

    /// Sends requests of these kinds for `length`.
    void run(std::vector<request_kind> const& kinds, duration length)
    {
        auto const end = clock_.now() + length;
        while (clock_.now() < end) {
            step();
            for (auto const& it : kinds) {
                std::poisson_distribution<int> arrivals(
                    it.per_second * to_seconds(step_length));
                for (auto n = arrivals(random_); n > 0; --n)
                    send(it);
            }
        }
    }

    /// Lets the requests that are open end.
    void finish()
    {
        for (int it = 0; it < 15s / step_length; ++it)
            step();
    }

    /// Counts only requests that are sent from now on.
    void forget_results()
    {
        results_.clear();
        counted_from_ = clock_.now();
    }

    kind_result result(std::string const& route) const
    {
        auto const it = results_.find(route);
        return it == results_.end() ? kind_result{} : it->second;
    }

    /// The smallest share of the targets that worked throughout any two seconds
    /// and got a request within them.
    double min_share_of_working_in_use(time_point from, time_point to) const
    {
        double smallest = 1;
        for (auto at = from + floor_window; at <= to; at += 100ms) {
            double working = 0;
            double used = 0;
            for (auto const& [name, it] : targets_) {
                if (fails(it, at - floor_window) || fails(it, at) ||
                    fails(it, at - floor_window / 2))
                    continue;
                ++working;
                auto const first = std::lower_bound(
                    it.arrivals.begin(), it.arrivals.end(), at - floor_window);
                used += first != it.arrivals.end() && *first < at ? 1 : 0;
            }
            smallest = std::min(smallest, used / working);
        }
        return smallest;
    }

    time_point now() const { return clock_.now(); }

    static constexpr double floor = 0.7;

private:
    static constexpr duration step_length = 5ms;
    static constexpr duration report_period = 200ms;
    static constexpr duration tick_period = 50ms;
    static constexpr duration floor_window = 2s;
    static constexpr std::size_t max_attempts = 3;
    static constexpr double failing_target_failure_rate = 0.85;
    /// A disturbed target fails a request after this part of its work.
    static constexpr double failed_work = 0.3;
    static constexpr double retry_ratio = 0.2;
    static constexpr double retry_extra = 20;

    struct fake_target
    {
        double phase = 0;
        std::int64_t in_flight = 0;
        std::vector<time_point> arrivals;
    };

    struct open_request
    {
        request_kind kind;
        std::size_t vm = 0;
        time_point received_at{};
        std::vector<target_id> tried;
        bool may_have_run = false;
        std::optional<target_state> last_state;
    };
    using request_pointer = std::shared_ptr<open_request>;

    struct attempt
    {
        request_pointer request;
        target_record target;
        attempt_result result = attempt_result::answered;
        time_point began_at{};
        time_point ends_at{};

        bool operator<(attempt const& other) const
        {
            return ends_at > other.ends_at;
        }
    };

    bool fails(fake_target const& it, time_point at) const
    {
        if (settings_.failing_for == duration::zero())
            return it.phase < settings_.failing_share;
        if (settings_.failing_share <= 0)
            return false;
        auto const cycle =
            to_seconds(settings_.failing_for) / settings_.failing_share;
        auto const passed =
            to_seconds(at.time_since_epoch()) / cycle + it.phase;
        return passed - std::floor(passed) < settings_.failing_share;
    }

    void step()
    {
        clock_.advance(step_length);
        end_attempts();
        bool const ticks = clock_.now() >= next_tick_at_;
        if (ticks)
            next_tick_at_ = clock_.now() + tick_period;
        for (std::size_t it = 0; it < vms_.size(); ++it) {
            if (ticks)
                vms_[it]->tick(clock_.now());
            if (vms_[it]->take_report_due() ||
                clock_.now() >= next_report_at_[it])
                exchange_report(it);
        }
    }

    void exchange_report(std::size_t vm)
    {
        next_report_at_[vm] = clock_.now() + report_period;
        traffic_report report;
        report.targets = vms_[vm]->take_reports();
        report.entries = 1;
        report.load = loads_[vm].per_second(clock_.now());
        auto const name = std::to_string(vm);
        reports_.add_report(name, false, std::move(report), clock_.now());
        vms_[vm]->apply_report(reports_.report_for(name, false), clock_.now());
    }

    void send(request_kind const& kind)
    {
        auto it = std::make_shared<open_request>();
        it->kind = kind;
        it->vm = random_() % vms_.size();
        it->received_at = clock_.now();
        ++results_[kind.route].sent;
        loads_[it->vm].add(clock_.now());
        retries_allowed_ += retry_ratio;
        submit(it);
    }

    kind_result& result_of(open_request const& it)
    {
        return it.received_at >= counted_from_ ? results_[it.kind.route]
                                               : uncounted_;
    }

    bool is_retryable(open_request const& it) const
    {
        return it.kind.idempotent && it.tried.size() + 1 < max_attempts &&
            retries_allowed_ > 1;
    }

    void submit(request_pointer const& it)
    {
        auto& vm = *vms_[it->vm];
        placement_request request;
        request.service = service_id("shop");
        request.route = route_id(it->kind.route);
        request.priority = it->kind.priority;
        request.retryable = is_retryable(*it);
        request.tried = it->tried;
        request.goal_at = it->received_at + it->kind.goal;
        request.deadline_at = it->received_at + it->kind.deadline;
        // As `request_times::start_deadline`.
        auto const median = vm.median_latency(request.service);
        request.start_deadline = std::min(it->received_at +
                std::max<duration>(it->kind.goal - median, it->kind.goal / 4),
            request.deadline_at -
                std::min<duration>(median, it->kind.deadline / 2));
        auto const decided = vm.submit(
            std::move(request),
            [this, it](placement_decision const& decision) {
                begin_attempt(it, decision);
            },
            clock_.now());
        if (auto const* const decision =
                std::get_if<placement_decision>(&decided))
            begin_attempt(it, *decision);
    }

    void begin_attempt(
        request_pointer const& request, placement_decision const& decision)
    {
        auto& result = result_of(*request);
        auto const now = clock_.now();
        auto const* const it = std::get_if<placement>(&decision);
        if (it == nullptr) {
            if (!request->may_have_run &&
                now - request->received_at > request->kind.goal / 8)
                ++result.late_refusals;
            return end(*request,
                request->may_have_run ? result.failed : result.refused);
        }
        request->last_state = it->reason.state;
        request->tried.push_back(it->target.id);
        ++result.attempts;
        if (it->reason.state != target_state::trusted)
            ++result.untrusted_attempts;
        auto& target = targets_[it->target.id.text()];
        attempt next{request, it->target, attempt_result::answered, now, now};
        if (target.in_flight >= settings_.slots) {
            next.result = attempt_result::shed;
            next.ends_at = now + step_length;
            ++result.shed;
            if (it->reason.state != target_state::trusted)
                ++result.untrusted_shed;
        } else {
            std::uniform_real_distribution<double> draw(0, 1);
            auto const work =
                to_seconds(request->kind.work) * (0.8 + 0.4 * draw(random_));
            bool const fails_now = fails(target, now) &&
                draw(random_) < failing_target_failure_rate;
            next.result = fails_now ? attempt_result::server_error
                                    : attempt_result::answered;
            next.ends_at =
                now + from_seconds(fails_now ? work * failed_work : work);
        }
        if (next.result != attempt_result::shed)
            ++target.in_flight;
        target.arrivals.push_back(now);
        attempts_.push(next);
    }

    void end_attempts()
    {
        while (!attempts_.empty() && attempts_.top().ends_at <= clock_.now()) {
            auto const it = attempts_.top();
            attempts_.pop();
            if (it.result != attempt_result::shed)
                --targets_[it.target.id.text()].in_flight;
            end_attempt(it);
        }
    }

    void end_attempt(attempt const& it)
    {
        auto& request = *it.request;
        auto& vm = *vms_[request.vm];
        auto const now = clock_.now();
        auto const held = now - it.began_at;
        if (it.result == attempt_result::answered)
            vm.add_holding_time(
                it.target.service, route_id(request.kind.route), held);
        vm.attempt_ended(it.target, it.result, held, now);
        auto& result = result_of(request);
        if (it.result == attempt_result::answered) {
            auto const took = now - request.received_at;
            return end(request,
                took <= request.kind.goal           ? result.in_goal
                    : took <= request.kind.deadline ? result.late
                                                    : result.failed);
        }
        bool const has_run = it.result != attempt_result::shed;
        if (has_run && request.last_state == target_state::trusted)
            ++result.unexpected_faults;
        request.may_have_run = request.may_have_run || has_run;
        bool const is_safe = !has_run || request.kind.idempotent;
        if (!is_safe || request.tried.size() >= max_attempts ||
            retries_allowed_ < 1 ||
            now > request.received_at + request.kind.deadline)
            return end(request, result.failed);
        --retries_allowed_;
        submit(it.request);
    }

    void end(open_request const& it, double& count)
    {
        ++count;
        auto const& result = result_of(it);
        bool const succeeded =
            &count == &result.in_goal || &count == &result.late;
        vms_[it.vm]->request_ended(
            service_id("shop"), succeeded, it.last_state);
    }

    placement_world_settings settings_;
    std::mt19937_64 random_;
    chart_list charts_;
    manual_clock clock_;
    std::vector<std::unique_ptr<dispatcher>> vms_;
    std::vector<rate_meter> loads_;
    std::vector<time_point> next_report_at_;
    time_point next_tick_at_{};
    std::map<std::string, fake_target> targets_;
    std::priority_queue<attempt> attempts_;
    report_aggregator reports_;
    std::map<std::string, kind_result> results_;
    time_point counted_from_{};
    /// Takes the counts of requests that were sent before.
    kind_result uncounted_;
    double retries_allowed_ = retry_extra;
};

} // namespace pomelohinge

#endif
