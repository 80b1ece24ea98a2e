#ifndef POMELOHINGE_DRIVERS_PEERS_MESSAGE_SIZES_HPP
#define POMELOHINGE_DRIVERS_PEERS_MESSAGE_SIZES_HPP

#include "drivers/peers/generated/peers.pb.h"
#include "servers/exchange/remote_bytes.hpp"

namespace pomelohinge {

/// The encoded size of a message by part, without the frames of gRPC, HTTP/2
/// and TCP.
exchange_bytes bytes_by_part(wire::SyncQuestion const& question);
exchange_bytes bytes_by_part(wire::SyncReply const& reply);

} // namespace pomelohinge

#endif
