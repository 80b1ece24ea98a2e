#ifndef POMELOHINGE_SERVERS_RETRIES_RETRY_POLICY_HPP
#define POMELOHINGE_SERVERS_RETRIES_RETRY_POLICY_HPP

#include "core/clock.hpp"
#include "servers/requests/refusal.hpp"

#include <cstddef>

namespace pomelohinge {

/// Bounds the share of retries in the requests of one traffic thread, so
/// that retries never multiply the load on upstreams in trouble.
class retry_budget
{
public:
    /// A first attempt was made.
    void request_began();

    /// Takes the right to one retry.
    bool take();

private:
    double tokens_ = 10;
};

/// A failed attempt at one request.
struct failed_attempt
{
    outcome result = outcome::unknown;
    bool idempotent = false;
    /// Attempts made, this one included.
    std::size_t attempts = 1;
    time_point deadline{};
};

/// Attempts at one request, the first included.
inline constexpr std::size_t most_attempts = 4;

/// Whether the request may be sent again: it is idempotent, or no upstream
/// has run it; and there is time and budget for it.
bool may_retry(
    failed_attempt const& failed, retry_budget& budget, time_point now);

} // namespace pomelohinge

#endif
