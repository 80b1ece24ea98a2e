#ifndef POMELOHINGE_DRIVERS_PEERS_CODEC_HPP
#define POMELOHINGE_DRIVERS_PEERS_CODEC_HPP

#include "drivers/peers/generated/peers.pb.h"
#include "servers/peers/messages.hpp"

/// Between the messages of servers/peers and their protocol buffers. What a
/// peer sends is not trusted: unknown positions of enumerations are read as
/// the value that promises least.
namespace pomelohinge {

wire::DispatchOrder to_wire(dispatch_order const& from);
dispatch_order from_wire(wire::DispatchOrder&& from);
wire::DispatchAnswer to_wire(dispatch_answer const& from);
dispatch_answer from_wire(wire::DispatchAnswer&& from);

wire::ChargeQuestion to_wire(charge_question const& from);
charge_question from_wire(wire::ChargeQuestion const& from);
wire::ChargeReply to_wire(charge_reply const& from);
charge_reply from_wire(wire::ChargeReply const& from);

wire::PoisonNotice to_wire(poison_notice const& from);
poison_notice from_wire(wire::PoisonNotice const& from);

wire::RecordQuestion to_wire(record_question const& from);
record_question from_wire(wire::RecordQuestion const& from);
wire::RecordReply to_wire(record_reply const& from);
record_reply from_wire(wire::RecordReply const& from);

wire::SyncQuestion to_wire(sync_question const& from);
sync_question from_wire(wire::SyncQuestion const& from);
wire::SyncReply to_wire(sync_reply const& from);
sync_reply from_wire(wire::SyncReply const& from);

wire::ReleaseNotice to_wire(release_notice const& from);
release_notice from_wire(wire::ReleaseNotice const& from);

wire::FloorQuestion to_wire(floor_question const& from);
floor_question from_wire(wire::FloorQuestion const& from);
wire::FloorReply to_wire(floor_reply const& from);
floor_reply from_wire(wire::FloorReply const& from);

wire::ReachQuestion to_wire(reach_question const& from);
reach_question from_wire(wire::ReachQuestion const& from);
wire::ReachReply to_wire(reach_verdict from);
reach_verdict from_wire(wire::ReachReply const& from);

} // namespace pomelohinge

#endif
