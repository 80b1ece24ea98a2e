#ifndef POMELOHINGE_DRIVERS_PEERS_ROLLOUT_CODEC_HPP
#define POMELOHINGE_DRIVERS_PEERS_ROLLOUT_CODEC_HPP

#include "drivers/peers/generated/peers.pb.h"
#include "servers/rollouts/rollout_decision.hpp"
#include "servers/rollouts/rollout_evidence.hpp"

/// Conversion between what decides on rollouts and the messages on the wire.
namespace pomelohinge {

void fill(
    wire::Evidence& to, evidence_key const& key, evidence_counts const& from);
evidence_counts from_wire(wire::Evidence const& from);

void fill(wire::RolloutPosition& to, rollout_position const& from);
rollout_position from_wire(wire::RolloutPosition const& from);

/// Points in time are encoded as the time since them, counted from `now`.
void fill(wire::Rollouts& to, rollout_decisions const& from, time_point now);
rollout_decisions from_wire(wire::Rollouts const& from, time_point now);

} // namespace pomelohinge

#endif
