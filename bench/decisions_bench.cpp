#include "charts/chart_list.hpp"
#include "config/configuration.hpp"
#include "servers/dispatch/dispatcher.hpp"
#include "servers/exchange/fleet_reports.hpp"
#include "servers/limits/organisation_limits.hpp"
#include "servers/membership/hub_order.hpp"
#include "servers/requests/policy.hpp"

#include <benchmark/benchmark.h>

/// Measures the cost of control and traffic decisions as a function of the
/// number of VMs or organisations.
namespace pomelohinge {
namespace {

/// Returns a configuration with this number of organisations, each with a rate
/// and a key.
configuration make_configuration(int organisations)
{
    std::vector<configuration_change> changes;
    for (int it = 0; it < organisations; ++it) {
        auto const name = "organisation-" + std::to_string(it);
        key_object key{organisation_id(name), {}};
        std::memcpy(key.hash.data(), &it, sizeof it);
        changes.push_back({object_kind::organisation, name,
            any_object(organisation_object{})});
        changes.push_back(
            {object_kind::rate, name, any_object(rate_object{5, 20})});
        changes.push_back({object_kind::key, name, any_object(key)});
    }
    return configuration().with(changes);
}

/// Orders the VMs of a data centre as candidates for its hub. The cost grows
/// with the number of VMs.
void order_hubs(benchmark::State& state)
{
    fleet_members members;
    for (int it = 0; it < state.range(0); ++it) {
        fleet_member member;
        member.record.vm = vm_id("vm-" + std::to_string(it));
        member.record.data_centre = data_centre_id("dc");
        members.push_back(member);
    }
    data_centre_id const data_centre("dc");
    for (auto _ : state)
        benchmark::DoNotOptimize(hub_order(members, data_centre));
}
BENCHMARK(order_hubs)->Arg(44)->Arg(92)->Arg(300);

/// Builds the index of a configuration, as every VM does for each change.
void index_configuration(benchmark::State& state)
{
    auto const source = make_configuration(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(configuration_index(source, 1));
}
BENCHMARK(index_configuration)->Arg(100)->Arg(10000)->Arg(89000);

/// Charges one request against the limit of one of many organisations.
void charge_organisation(benchmark::State& state)
{
    organisation_limits limits;
    rate_object const rate{1e6, 1000};
    auto now = boottime_clock::now();
    std::vector<std::string> names;
    for (int it = 0; it < state.range(0); ++it)
        names.push_back("organisation-" + std::to_string(it));
    std::size_t n = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(10);
        benchmark::DoNotOptimize(
            limits.charge(names[++n % names.size()], rate, now));
    }
}
BENCHMARK(charge_organisation)->Arg(8)->Arg(1000)->Arg(89000);

/// Stores the report of one VM at a hub and computes the report that answers
/// it, for different numbers of reporting VMs.
void exchange_reports(benchmark::State& state)
{
    report_aggregator aggregator;
    traffic_report report;
    for (int it = 0; it < 80; ++it)
        report.targets["target-" + std::to_string(it)] =
            target_report{1, 2, 0, 0};
    auto const now = boottime_clock::now();
    int n = 0;
    for (auto _ : state) {
        auto const name = "vm-" + std::to_string(++n % state.range(0));
        aggregator.add_report(name, false, report, now);
        benchmark::DoNotOptimize(aggregator.report_for(name, false));
    }
}
BENCHMARK(exchange_reports)->Arg(4)->Arg(16)->Arg(64);

/// Returns a policy with this number of targets of one service.
policy_pointer make_policy(std::int64_t targets)
{
    auto next = std::make_shared<policy>();
    next->index = std::make_shared<configuration_index>(configuration(), 1);
    std::vector<target_record> records;
    for (std::int64_t it = 0; it < targets; ++it) {
        target_record record;
        record.id = target_id("t" + std::to_string(it));
        record.service = service_id("shop");
        record.data_centre = data_centre_id("dc");
        record.address = "10.0.0.1:" + std::to_string(it);
        record.slots = 6;
        records.push_back(record);
    }
    next->targets = std::make_shared<target_catalogue>(records, 1);
    next->members = std::make_shared<fleet_members>();
    next->ready = true;
    return next;
}

/// Chooses a target for a request and records its answer, with a third of the
/// targets failing and others sending as well.
void place_request(benchmark::State& state, placement_mode mode)
{
    findings found("charts");
    auto const charts = std::move(*load_charts("", found));
    dispatcher subject(charts.target, vm_id("vm"), data_centre_id("dc"), 1,
        [](std::string const&) { return true; });
    subject.set_floor(0.7);
    subject.set_placement({mode});
    time_point now{std::chrono::hours(1)};
    subject.adopt(make_policy(state.range(0)), now);
    traffic_report others;
    others.entries = 12;
    others.load = 1000;
    for (std::int64_t it = 0; it < state.range(0); ++it)
        others.targets["t" + std::to_string(it)] =
            it % 3 == 0 ? target_report{1, 0, 3, 0} : target_report{3, 3, 0, 0};
    auto const report_every = 50;
    std::int64_t n = 0;
    for (auto _ : state) {
        now += std::chrono::milliseconds(4);
        if (n++ % report_every == 0) {
            state.PauseTiming();
            subject.tick(now);
            subject.take_reports();
            subject.apply_report(others, now);
            state.ResumeTiming();
        }
        placement_request request;
        request.service = service_id("shop");
        request.route = route_id(n % 2 == 0 ? "short" : "long");
        request.priority = n % 2;
        request.retryable = n % 2 != 0;
        request.goal_at = now + std::chrono::seconds(1);
        request.deadline_at = now + std::chrono::seconds(2);
        request.start_deadline = now + std::chrono::milliseconds(500);
        auto const decided = subject.submit(
            std::move(request), [](placement_decision) {}, now);
        auto const* const decision = std::get_if<placement_decision>(&decided);
        if (decision != nullptr && std::holds_alternative<placement>(*decision))
            subject.attempt_ended(std::get<placement>(*decision).target,
                attempt_result::answered, std::chrono::milliseconds(300), now);
    }
}
BENCHMARK_CAPTURE(place_request, earliest, placement_mode::earliest)
    ->Arg(64)
    ->Arg(400);
BENCHMARK_CAPTURE(place_request, by_deadline, placement_mode::by_deadline)
    ->Arg(64)
    ->Arg(400);
/// Chooses a target among 400 in three data centres and ends the attempt, by
/// the constant cost of distance (0) or with `transfer` (1).
void choose_target(benchmark::State& state)
{
    constexpr int targets = 400;
    findings found("charts");
    auto const charts = std::move(*load_charts("", found));
    data_centre_id const east("east");
    transfer moved(state.range(0) == 0 ? std::nullopt
                                       : std::optional(transfer_settings{1}),
        east);
    dispatcher chosen(charts.target, vm_id("vm-1"), east, 1,
        [](std::string const&) { return true; });
    chosen.set_transfer(moved);
    std::vector<target_record> records(targets);
    for (int it = 0; it < targets; ++it) {
        auto& record = records[static_cast<std::size_t>(it)];
        record.id = target_id("target-" + std::to_string(it));
        record.service = service_id("shop");
        record.data_centre = data_centre_id(
            it % 3 == 0 ? "east" : (it % 3 == 1 ? "north" : "west"));
        record.slots = 6;
    }
    auto next = std::make_shared<policy>();
    next->index = std::make_shared<configuration_index>(configuration(), 1);
    next->targets = std::make_shared<target_catalogue>(records, 1);
    next->members = std::make_shared<fleet_members>();
    next->ready = true;
    auto now = boottime_clock::now();
    chosen.adopt(next, now);
    for (auto _ : state) {
        now += std::chrono::milliseconds(1);
        placement_request request;
        request.service = service_id("shop");
        request.start_deadline = now + std::chrono::seconds(1);
        auto const it = chosen.submit(
            request, [](placement_decision const&) {}, now);
        auto const& placed =
            std::get<placement>(std::get<placement_decision>(it));
        chosen.attempt_ended(placed.target, attempt_result::answered,
            std::chrono::milliseconds(100), now);
    }
}
BENCHMARK(choose_target)->Arg(0)->Arg(1);

} // namespace
} // namespace pomelohinge

BENCHMARK_MAIN();
