#include "drivers/peers/rollout_codec.hpp"

#include "drivers/peers/wire_values.hpp"

#include <algorithm>

namespace pomelohinge {

void fill(
    wire::Evidence& to, evidence_key const& key, evidence_counts const& from)
{
    to.set_service(key.service);
    to.set_route(key.route);
    to.set_target(key.target);
    to.set_good(from.good);
    to.set_failed(from.failed);
    to.set_slow(from.slow);
    auto const& counts = from.latencies.counts();
    auto used = counts.size();
    while (used > 0 && counts[used - 1] == 0)
        --used;
    for (std::size_t n = 0; n < used; ++n)
        to.add_latencies(counts[n]);
}

evidence_counts from_wire(wire::Evidence const& from)
{
    // Sums of three counts must not overflow.
    constexpr std::uint32_t max_count = 1 << 24;
    evidence_counts counts{std::min(from.good(), max_count),
        std::min(from.failed(), max_count), std::min(from.slow(), max_count),
        {}};
    auto const used =
        std::min<std::size_t>(static_cast<std::size_t>(from.latencies_size()),
            latency_classes::count);
    for (std::size_t n = 0; n < used; ++n)
        counts.latencies.set_count(
            n, std::min(from.latencies(static_cast<int>(n)), max_count));
    return counts;
}

void fill(wire::RolloutPosition& to, rollout_position const& from)
{
    to.set_revision(from.revision);
    to.set_decider(from.decider);
    to.set_sequence(from.sequence);
}

rollout_position from_wire(wire::RolloutPosition const& from)
{
    return {from.revision(), from.decider(), from.sequence()};
}

void fill(wire::Rollouts& to, rollout_decisions const& from, time_point now)
{
    fill(*to.mutable_position(), from.position);
    to.set_age_us(to_microseconds(now - from.decided_at));
    for (auto const& it : from.items) {
        auto& row = *to.add_items();
        row.set_service(it.service.text());
        row.set_version(it.version);
        row.set_state(enum_to_wire(it.state));
        row.set_share(it.share);
        for (auto const& target : it.canaries)
            row.add_canaries(target.text());
        for (auto const& [route, limit] : it.slow_limits) {
            auto& slow = *row.add_slow_limits();
            slow.set_route(route);
            slow.set_limit_us(to_microseconds(limit));
        }
        row.set_age_us(to_microseconds(now - it.started_at));
    }
}

rollout_decisions from_wire(wire::Rollouts const& from, time_point now)
{
    rollout_decisions decisions;
    decisions.position = from_wire(from.position());
    decisions.decided_at = now - from_microseconds(from.age_us());
    for (auto const& it : from.items()) {
        rollout_decision item;
        item.service = service_id(it.service());
        item.version = it.version();
        item.state = enum_from_wire(it.state(), rollout_state::ordered);
        item.share = std::min(quantity_from_wire(it.share()), 1.0);
        for (auto const& target : it.canaries())
            item.canaries.emplace_back(target);
        for (auto const& limit : it.slow_limits())
            item.slow_limits[limit.route()] =
                from_microseconds(limit.limit_us());
        item.started_at = now - from_microseconds(it.age_us());
        decisions.items.push_back(std::move(item));
    }
    return decisions;
}

} // namespace pomelohinge
