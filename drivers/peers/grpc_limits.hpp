#ifndef POMELOHINGE_DRIVERS_PEERS_GRPC_LIMITS_HPP
#define POMELOHINGE_DRIVERS_PEERS_GRPC_LIMITS_HPP

namespace pomelohinge {

/// Largest message between VMs: a whole configuration at the design size.
inline constexpr int largest_message_bytes = 48 << 20;

/// Connections with a call under way are tested so often, and given up when
/// the test is not answered within the timeout: a flow that a middle box
/// has forgotten is found before callers notice.
inline constexpr int keep_alive_time_ms = 2000;
inline constexpr int keep_alive_timeout_ms = 1000;

} // namespace pomelohinge

#endif
