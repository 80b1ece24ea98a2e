#include "servers/rollouts/evidence_log.hpp"

namespace pomelohinge {
namespace {

bool is_slow(rollout_table::open_rollout const& rollout, route_id const& route,
    duration latency)
{
    auto const limit = rollout.slow_limits.find(route.text());
    return limit != rollout.slow_limits.end() && latency > limit->second;
}

} // namespace

void evidence_log::record(target_record const& target, route_id const& route,
    evidence_kind kind, duration latency)
{
    auto const* const rollout =
        table_ == nullptr ? nullptr : table_->find(target.service);
    if (rollout == nullptr || kind == evidence_kind::none)
        return;
    bool const is_new = target.version == rollout->version;
    bool const slow = is_slow(*rollout, route, latency);
    if (kind == evidence_kind::cancelled && !slow)
        return;
    auto& counts = counted_[{target.service.text(), route.text(),
        is_new ? target.id.text() : std::string()}];
    if (kind == evidence_kind::failed)
        ++counts.failed;
    else if (slow)
        ++counts.slow;
    else
        ++counts.good;
    if (kind == evidence_kind::answered && !is_new)
        counts.latencies.add(latency);
}

} // namespace pomelohinge
