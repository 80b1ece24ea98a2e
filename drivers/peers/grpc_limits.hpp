#ifndef POMELOHINGE_DRIVERS_PEERS_GRPC_LIMITS_HPP
#define POMELOHINGE_DRIVERS_PEERS_GRPC_LIMITS_HPP

namespace pomelohinge {

/// Limit on a message between VMs. The largest message carries a complete
/// configuration at the design size.
inline constexpr int max_message_bytes = 48 << 20;

/// Period of keep-alive pings on connections with a pending call, and the
/// timeout after which a connection without a response to a ping is closed.
/// They detect that a middlebox has dropped a connection before callers are
/// affected.
inline constexpr int keep_alive_time_ms = 2000;
inline constexpr int keep_alive_timeout_ms = 1000;

} // namespace pomelohinge

#endif
