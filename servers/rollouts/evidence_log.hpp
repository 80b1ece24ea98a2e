#ifndef POMELOHINGE_SERVERS_ROLLOUTS_EVIDENCE_LOG_HPP
#define POMELOHINGE_SERVERS_ROLLOUTS_EVIDENCE_LOG_HPP

#include "servers/rollouts/rollout_evidence.hpp"
#include "servers/rollouts/rollout_table.hpp"

#include <memory>
#include <utility>

namespace pomelohinge {

/// How an attempt counts for or against the version of its target.
enum class evidence_kind {
    /// It says nothing, for example because the target has not run it.
    none,
    answered,
    failed,
    /// This VM has ended it before its answer.
    cancelled,
};

template <>
inline constexpr auto
    name_table<evidence_kind> = make_name_table<evidence_kind>({
        {evidence_kind::none, "none"},
        {evidence_kind::answered, "answered"},
        {evidence_kind::failed, "failed"},
        {evidence_kind::cancelled, "cancelled"},
    });
static_assert(is_ordered<evidence_kind>());

/// Counts on one traffic thread how attempts at services that are rolled out
/// end. Without a rollout it counts nothing.
class evidence_log
{
public:
    void adopt(std::shared_ptr<rollout_table const> table)
    {
        table_ = std::move(table);
    }

    void record(target_record const& target, route_id const& route,
        evidence_kind kind, duration latency);

    /// Returns what was counted since the last call.
    rollout_evidence take() { return std::exchange(counted_, {}); }

private:
    std::shared_ptr<rollout_table const> table_;
    rollout_evidence counted_;
};

} // namespace pomelohinge

#endif
