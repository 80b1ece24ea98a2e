#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_HPP

#include "config/objects.hpp"
#include "core/clock.hpp"
#include "core/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge {

/// A header that is passed on.
struct header_field
{
    std::string name;
    std::string value;
};

/// A request as the front has received it, free of its encoding.
struct request_head
{
    http_method method = http_method::get;
    /// Path with query, as sent.
    std::string target;
    /// Hash of the key, if the request brought one.
    std::optional<key_hash> key;
    /// `X-Request-Id`, made by the front if absent.
    std::string request_id;
    /// `Idempotency-Key`, empty if absent.
    std::string repeat_key;
    /// `Pomelohinge-Deadline-Ms`, if present.
    std::optional<std::chrono::milliseconds> deadline;
    /// Size of the body in bytes.
    std::size_t body_bytes = 0;
};

/// A request that may go on to the limits and an upstream.
struct admitted_request
{
    /// Empty on a route that is open to all.
    organisation_id organisation;
    service_id service;
    route_id route;
    /// Path with query that the upstream sees; without the service.
    std::string path;
    std::chrono::milliseconds deadline{0};
    bool idempotent = false;
    bool echoes_request_id = true;
};

/// Whether `method` is idempotent by its definition in RFC 9110.
constexpr bool is_idempotent(http_method method)
{
    return method != http_method::post && method != http_method::patch;
}

} // namespace pomelohinge

#endif
