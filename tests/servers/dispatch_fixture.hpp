#ifndef POMELOHINGE_TESTS_SERVERS_DISPATCH_FIXTURE_HPP
#define POMELOHINGE_TESTS_SERVERS_DISPATCH_FIXTURE_HPP

#include "servers/dispatch/dispatcher.hpp"
#include "tests/servers/test_charts.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace pomelohinge {

using namespace std::chrono_literals;

/// One entry VM with the targets of one service.
class dispatch_fixture : public testing::Test
{
protected:
    dispatch_fixture()
        : charts_(load_all_charts()),
          dispatcher_(charts_.target, vm_id("a"), data_centre_id("east"), 1,
              [](std::string const&) { return false; })
    {
        dispatcher_.set_floor(0.5);
    }

    target_record& add(std::string name, std::string data_centre = "east",
        std::int64_t slots = 2)
    {
        target_record it;
        it.id = target_id(name);
        it.service = service_id("shop");
        it.data_centre = data_centre_id(std::move(data_centre));
        it.address = "10.0.0.1:80";
        it.slots = slots;
        it.revision = 1;
        records_.push_back(std::move(it));
        return records_.back();
    }

    void adopt()
    {
        auto next = std::make_shared<policy>();
        configuration source;
        service_object service;
        service.cold_requests_per_second = cold_rate_;
        source =
            source.with({{object_kind::service, "shop", any_object(service)}});
        next->index = std::make_shared<configuration_index>(source, 1);
        next->targets = std::make_shared<target_catalogue>(records_, 1);
        auto members = std::make_shared<fleet_members>();
        members->push_back({{vm_id("a"), data_centre_id("east"), "", "", 1,
                                vm_standing::serving, 1, 1000},
            true, true, 0});
        next->members = members;
        next->closed = closed_;
        next->rollouts = rollouts_;
        next->ready = true;
        dispatcher_.adopt(next, clock_.now());
    }

    placement_request make_request(
        std::int64_t priority = 1, bool retryable = false)
    {
        placement_request request;
        request.service = service_id("shop");
        request.priority = priority;
        request.retryable = retryable;
        request.start_deadline = clock_.now() + 1s;
        return request;
    }

    /// Returns the target that a request gets at once; empty if none.
    std::string place(placement_request request)
    {
        auto const it = dispatcher_.submit(
            std::move(request), [](placement_decision) {}, clock_.now());
        auto const* const decided = std::get_if<placement_decision>(&it);
        if (decided == nullptr || !std::holds_alternative<placement>(*decided))
            return {};
        last_ = std::get<placement>(*decided).target;
        return last_.id.text();
    }

    void end_attempt(target_record const& target,
        attempt_result result = attempt_result::answered,
        duration latency = 100ms)
    {
        dispatcher_.attempt_ended(target, result, latency, clock_.now());
    }

    /// Ends an attempt at the target with `result`.
    void attempt(std::string const& name, attempt_result result)
    {
        std::vector<target_record> others;
        while (place(make_request()) != name)
            others.push_back(last_);
        end_attempt(record(name), result);
        for (auto const& it : others)
            end_attempt(it);
    }

    static target_notice leaving()
    {
        target_notice notice;
        notice.leaving = true;
        return notice;
    }

    static target_notice pause(duration length)
    {
        target_notice notice;
        notice.pause = length;
        return notice;
    }

    target_record const& record(std::string const& name) const
    {
        return *std::find_if(records_.begin(), records_.end(),
            [&](auto const& it) { return it.id.text() == name; });
    }

    chart_list charts_;
    manual_clock clock_;
    std::vector<target_record> records_;
    std::set<data_centre_id> closed_;
    std::shared_ptr<rollout_table const> rollouts_;
    double cold_rate_ = 0;
    dispatcher dispatcher_;
    target_record last_;
};

} // namespace pomelohinge

#endif
