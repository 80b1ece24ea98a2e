#ifndef POMELOHINGE_SERVERS_SELECTION_ROUTE_LATENCIES_HPP
#define POMELOHINGE_SERVERS_SELECTION_ROUTE_LATENCIES_HPP

#include "core/clock.hpp"
#include "core/identifiers.hpp"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstdint>
#include <optional>
#include <utility>

namespace pomelohinge {

/// How long the latest requests of each route took at the targets of each of
/// its services. Requests of different routes may differ a lot in their work,
/// also at the same service.
class route_latencies
{
public:
    /// Adds the time that a request took at its target, or the time after which
    /// it was given up.
    void add(route_id const& route, service_id const& service, duration latency,
        time_point now);

    /// A time that hardly any request of the route takes longer than: twice the
    /// time within which 97% of the latest ones ended. Empty until there are
    /// enough of them.
    std::optional<duration> likely_limit(
        route_id const& route, service_id const& service) const;

    /// Forgets routes without requests for ten minutes.
    void remove_idle(time_point now);

private:
    static constexpr std::size_t max_samples = 64;

    struct samples
    {
        /// The latest values in milliseconds; a ring once it is full.
        std::array<std::uint32_t, max_samples> latencies_ms{};
        std::size_t added = 0;
        time_point last_added_at{};
    };

    using key = std::pair<route_id, service_id>;
    absl::flat_hash_map<key, samples> routes_;
};

} // namespace pomelohinge

#endif
