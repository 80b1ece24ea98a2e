#include "config/configuration.hpp"
#include "servers/limits/organisation_shares.hpp"
#include "servers/ownership/ownership.hpp"
#include "servers/requests/policy.hpp"

#include <benchmark/benchmark.h>

/// Costs of the decisions against the sizes that drive them.
namespace pomelohinge {
namespace {

constexpr int data_centres = 13;

fleet_view make_view(int vms)
{
    std::map<data_centre_id, data_centre_view> views;
    for (int it = 0; it < vms; ++it) {
        data_centre_id const name("dc-" + std::to_string(it % data_centres));
        auto& view = views[name];
        view.data_centre = name;
        auto const vm = "vm-" + std::to_string(it);
        view = with_vm(std::move(view),
            {vm_id(vm), name, vm, vm, 1, vm_standing::serving});
    }
    fleet_view all;
    for (auto& [name, view] : views)
        all.adopt(std::move(view));
    return all;
}

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

/// Owner of one key; the cost grows with the VMs that are ranked.
void find_owner(benchmark::State& state)
{
    rendezvous const ranks(make_view(static_cast<int>(state.range(0))));
    std::uint64_t n = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(
            ranks.owner(owned_kind::service, std::to_string(++n)));
}
BENCHMARK(find_owner)->Arg(44)->Arg(92)->Arg(1200);

/// A change of one data centre's view.
void adopt_view(benchmark::State& state)
{
    auto view = make_view(static_cast<int>(state.range(0)));
    auto changed = view.data_centres().begin()->second;
    ownership owners(vm_id("vm-0"));
    manual_clock clock;
    for (auto _ : state) {
        ++changed.epoch;
        view.adopt(changed);
        owners.adopt(view, clock.now());
        clock.advance(std::chrono::minutes(2));
        owners.confirm(
            [](std::size_t) { return duration::zero(); }, clock.now());
        clock.advance(std::chrono::minutes(2));
        owners.expire(clock.now());
    }
}
BENCHMARK(adopt_view)->Arg(44)->Arg(1200)->Unit(benchmark::kMicrosecond);

/// One accepted change of a correction, to the new index.
void apply_change(benchmark::State& state)
{
    auto const base = make_configuration(static_cast<int>(state.range(0)));
    configuration_change const change{object_kind::correction, "x",
        any_object(correction_object{service_id("y")})};
    std::uint64_t version = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(std::make_shared<configuration_index>(
            base.with({change}), ++version));
}
BENCHMARK(apply_change)->Arg(8)->Arg(89000)->Unit(benchmark::kMicrosecond);

/// Authentication and routing of one request.
void admit_request(benchmark::State& state)
{
    configuration_index const index(
        make_configuration(static_cast<int>(state.range(0))), 1);
    request_head head;
    head.target = "/orders/today";
    head.key = key_hash{};
    for (auto _ : state)
        benchmark::DoNotOptimize(index.routes.admit(head));
}
BENCHMARK(admit_request)->Arg(8)->Arg(89000);

/// One charge at a share that is held.
void charge_share(benchmark::State& state)
{
    organisation_shares shares;
    manual_clock clock;
    auto const since = clock.now() - std::chrono::hours(1);
    rate_object const rate{1e6, 1'000'000};
    organisation_id const name("pub");
    for (auto _ : state) {
        clock.advance(std::chrono::milliseconds(1));
        benchmark::DoNotOptimize(shares.charge(name, rate, since, clock.now()));
    }
}
BENCHMARK(charge_share);

} // namespace
} // namespace pomelohinge

BENCHMARK_MAIN();
