#ifndef POMELOHINGE_TESTS_SIMULATION_REFEREE_HPP
#define POMELOHINGE_TESTS_SIMULATION_REFEREE_HPP

#include "config/configuration.hpp"
#include "core/clock.hpp"
#include "servers/requests/attempt.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pomelohinge::simulation {

/// What the users' rules allow over the whole fleet.
struct rule_bounds
{
    duration max_revocation_delay = std::chrono::seconds(5);
    duration closure = std::chrono::seconds(5);
    duration drain = std::chrono::seconds(2);
    duration configuration = std::chrono::seconds(2);
    /// Quotas, in any window.
    duration quota_window = std::chrono::seconds(5);
    double quota_excess = 0.1;
    double quota_extra = 20;
    /// Cold targets, in any second.
    double cold_excess = 1.5;
    double cold_extra = 5;
    /// Retries to a service, in any window.
    duration retry_window = std::chrono::seconds(10);
    double retry_ratio = 0.2;
    double retry_extra = 60;
    /// A VM is in touch when it has been undisturbed for so long.
    duration in_touch = std::chrono::seconds(3);
};

/// Sees what all VMs do together and collects what must never be.
class referee
{
public:
    explicit referee(rule_bounds bounds) : bounds_(bounds) {}

    rule_bounds const& bounds() const { return bounds_; }

    // What operators and troubles do.

    void set_rate(std::string const& organisation, rate_object const& rate)
    {
        rates_[organisation] = rate;
    }
    void key_withdrawn(std::string const& organisation, time_point now)
    {
        withdrawn_[organisation] = now;
    }
    void key_given(std::string const& organisation)
    {
        withdrawn_.erase(organisation);
    }
    void closed(std::string const& data_centre, time_point now)
    {
        closed_[data_centre] = now;
    }
    void opened(std::string const& data_centre) { closed_.erase(data_centre); }
    void drained(target_id const& target, time_point now)
    {
        drained_.emplace(target, now);
    }

    /// The VM or the store was disturbed; bounds in time do not hold for the
    /// VM for a while.
    void disturbed(std::string const& vm, time_point now)
    {
        disturbed_[vm] = std::max(disturbed_[vm], now);
    }

    bool is_in_touch(std::string const& vm, time_point now) const
    {
        auto const it = disturbed_.find(vm);
        return it == disturbed_.end() || now - it->second > bounds_.in_touch;
    }

    // What VMs and targets do.

    /// A request of a caller, sent then.
    void asked(std::string const& id, std::string const& organisation,
        std::string const& service, bool idempotent, time_point now)
    {
        requests_[id] = {organisation, idempotent, now, 0, false};
        note(first_sends_[service], now);
    }

    /// A request reaches a target.
    void arrives(std::string const& vm, target_record const& target,
        upstream_request const& order, time_point now)
    {
        auto& it = requests_[order.request_id];
        if (++it.arrivals > 1) {
            note(retries_[target.service.text()], now);
            check_retries(target.service.text(), now);
        }
        if (it.promised_not_run)
            blame("arrives after \"not run\": " + order.request_id, now);
        check_places(vm, target, now);
    }

    /// A target begins to run it.
    void runs(target_record const& target, bool is_cold, double cold_rate,
        upstream_request const& order, time_point now)
    {
        auto& it = requests_[order.request_id];
        if (it.promised_not_run)
            blame("runs after \"not run\": " + order.request_id, now);
        if (std::exchange(it.ran, true) && !it.idempotent)
            blame("runs twice: " + order.request_id, now);
        if (order.organisation.text() != it.organisation)
            blame("runs for another organisation: " + order.request_id, now);
        check_key(it, now);
        check_quota(it.organisation, now);
        if (is_cold)
            check_cold(target.id.text(), cold_rate, now);
    }

    /// A caller is told that its request has not run.
    void promised_not_run(std::string const& id, time_point now)
    {
        auto& it = requests_[id];
        it.promised_not_run = true;
        if (it.ran && !it.idempotent)
            blame("\"not run\" is untrue: " + id, now);
    }

    void blame(std::string what, time_point now)
    {
        constexpr std::size_t most_kept = 20;
        if (blamed_.size() < most_kept)
            blamed_.push_back(
                std::to_string(to_seconds(now.time_since_epoch()) - 3600) +
                " s: " + std::move(what));
    }

    std::vector<std::string> const& blamed() const { return blamed_; }

private:
    using times = std::deque<time_point>;

    struct seen_request
    {
        std::string organisation;
        bool idempotent = false;
        time_point sent;
        std::size_t arrivals = 0;
        bool ran = false;
        bool promised_not_run = false;
    };

    static void note(times& it, time_point now) { it.push_back(now); }

    static std::size_t within(times& it, duration window, time_point now)
    {
        while (!it.empty() && now - it.front() > window)
            it.pop_front();
        return it.size();
    }

    void check_places(
        std::string const& vm, target_record const& target, time_point now)
    {
        if (!is_in_touch(vm, now))
            return;
        auto const closed = closed_.find(target.data_centre.text());
        if (closed != closed_.end() && now - closed->second > bounds_.closure)
            blame("work for a closed data centre from " + vm, now);
        auto const drained = drained_.find(target.id);
        if (drained != drained_.end() && now - drained->second > bounds_.drain)
            blame("work for the leaving target " + target.id.text() + " from " +
                    vm + " after " +
                    std::to_string(to_milliseconds(now - drained->second)) +
                    " ms",
                now);
    }

    void check_key(seen_request const& it, time_point now)
    {
        auto const gone = withdrawn_.find(it.organisation);
        if (gone != withdrawn_.end() &&
            it.sent - gone->second > bounds_.max_revocation_delay)
            blame("runs with a withdrawn key of " + it.organisation, now);
    }

    void check_quota(std::string const& organisation, time_point now)
    {
        auto const rate = rates_.find(organisation);
        if (rate == rates_.end())
            return;
        auto& ran = ran_[organisation];
        note(ran, now);
        auto const n = within(ran, bounds_.quota_window, now);
        auto const allowed = (rate->second.requests_per_second *
                                     to_seconds(bounds_.quota_window) +
                                 static_cast<double>(rate->second.burst)) *
                (1 + bounds_.quota_excess) +
            bounds_.quota_extra;
        if (static_cast<double>(n) > allowed)
            blame(organisation + " runs " + std::to_string(n) + ", allowed " +
                    std::to_string(allowed),
                now);
    }

    void check_cold(std::string const& target, double rate, time_point now)
    {
        auto& got = cold_[target];
        note(got, now);
        auto const n = within(got, std::chrono::seconds(1), now);
        if (static_cast<double>(n) >
            rate * bounds_.cold_excess + bounds_.cold_extra)
            blame("cold " + target + " got " + std::to_string(n), now);
    }

    void check_retries(std::string const& service, time_point now)
    {
        auto const n = within(retries_[service], bounds_.retry_window, now);
        auto const requests =
            within(first_sends_[service], bounds_.retry_window, now);
        auto const allowed =
            bounds_.retry_ratio * static_cast<double>(requests) +
            bounds_.retry_extra;
        if (static_cast<double>(n) > allowed)
            blame("retries to " + service + ": " + std::to_string(n) +
                    ", allowed " + std::to_string(allowed),
                now);
    }

    rule_bounds bounds_;
    std::map<std::string, rate_object> rates_;
    std::map<std::string, time_point> withdrawn_;
    std::map<std::string, time_point> closed_;
    std::map<target_id, time_point> drained_;
    std::map<std::string, time_point> disturbed_;
    std::map<std::string, seen_request> requests_;
    std::map<std::string, times> ran_;
    std::map<std::string, times> cold_;
    std::map<std::string, times> first_sends_;
    std::map<std::string, times> retries_;
    std::vector<std::string> blamed_;
};

} // namespace pomelohinge::simulation

#endif
