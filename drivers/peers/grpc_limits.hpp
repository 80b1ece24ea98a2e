#ifndef POMELOHINGE_DRIVERS_PEERS_GRPC_LIMITS_HPP
#define POMELOHINGE_DRIVERS_PEERS_GRPC_LIMITS_HPP

#include <cstddef>

namespace pomelohinge {

/// Limit on a message between VMs. The largest message carries a complete
/// configuration at the design size.
inline constexpr int max_message_bytes = 48 << 20;

/// Limit on a question. The largest is a hub's report on all targets and
/// organisations at the design size.
inline constexpr int max_question_bytes = 16 << 20;

/// Limit on the memory of the questions of all other VMs together that have no
/// reply yet. A question beyond it is refused.
inline constexpr std::size_t max_open_question_bytes = 32 << 20;

/// Questions up to this size are not counted, so that large ones do not keep
/// them out.
inline constexpr std::size_t max_uncounted_question_bytes = 16 << 10;

/// Period of keep-alive pings on connections with a pending call, and the
/// timeout after which a connection without a response to a ping is closed.
/// They detect that a middlebox has dropped a connection before callers are
/// affected.
inline constexpr int keep_alive_time_ms = 2000;
inline constexpr int keep_alive_timeout_ms = 1000;

} // namespace pomelohinge

#endif
