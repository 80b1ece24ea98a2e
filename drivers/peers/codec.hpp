#ifndef POMELOHINGE_DRIVERS_PEERS_CODEC_HPP
#define POMELOHINGE_DRIVERS_PEERS_CODEC_HPP

#include "drivers/peers/generated/peers.pb.h"
#include "servers/exchange/sync.hpp"

/// Between the messages of decisions and those on the wire.
namespace pomelohinge {

wire::SyncQuestion to_wire(sync_question const& question);
sync_question from_wire(wire::SyncQuestion const& question);

/// `now` turns points in time into what is left until them, and back.
wire::SyncReply to_wire(sync_reply const& reply, time_point now);
sync_reply from_wire(wire::SyncReply&& reply, time_point now);

} // namespace pomelohinge

#endif
