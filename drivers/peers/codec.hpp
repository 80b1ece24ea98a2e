#ifndef POMELOHINGE_DRIVERS_PEERS_CODEC_HPP
#define POMELOHINGE_DRIVERS_PEERS_CODEC_HPP

#include "drivers/peers/generated/peers.pb.h"
#include "servers/exchange/sync.hpp"

/// Conversion between the types that the decisions use and the messages on the
/// wire.
namespace pomelohinge {

wire::SyncQuestion to_wire(sync_question const& question);
sync_question from_wire(wire::SyncQuestion const& question);

/// Points in time are encoded as the time left until them, counted from `now`.
wire::SyncReply to_wire(sync_reply const& reply, time_point now);
sync_reply from_wire(wire::SyncReply&& reply, time_point now);

} // namespace pomelohinge

#endif
