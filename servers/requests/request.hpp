#ifndef POMELOHINGE_SERVERS_REQUESTS_REQUEST_HPP
#define POMELOHINGE_SERVERS_REQUESTS_REQUEST_HPP

#include "config/objects.hpp"
#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "servers/buffers/shared_body.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge {

/// A header field that is forwarded.
struct header_field
{
    std::string name;
    std::string value;
};

/// The head of a request, independent of the protocol it arrived by.
struct request_head
{
    /// As received. Methods unknown to the configuration are forwarded on
    /// routes that allow any method.
    std::string method = "GET";
    /// Path with query, as received.
    std::string target;
    /// Requested host, without port; empty if absent.
    std::string host;
    /// Hash of the API key, if the request has one.
    std::optional<key_hash> key;
    /// Id of the request; generated on receipt if absent.
    std::string request_id;
    /// Value of `Idempotency-Key`; empty if absent.
    std::string idempotency_key;
    /// Time for which the caller waits, if given.
    std::optional<std::chrono::milliseconds> deadline;
    /// Size of the body in bytes.
    std::size_t body_bytes = 0;
};

/// A request as received from a caller.
struct incoming_request
{
    request_head head;
    std::vector<header_field> headers;
    shared_body body;
    /// Time since it was received, for which it has waited behind others of its
    /// connection.
    duration waited{};
};

/// A request that routing has accepted, with the parameters of its route.
struct admitted_request
{
    /// Empty on a route that needs no key.
    organisation_id organisation;
    service_id service;
    route_id route;
    /// Path with query that is sent to the upstream.
    std::string path;
    /// Time limit for the request, including waits and all attempts.
    duration time_limit{};
    /// Latency goal: an answer within this time is of full use to the caller.
    /// Zero if there is none.
    duration goal{};
    bool idempotent = false;
    bool echoes_request_id = true;
    /// Maximum number of targets that the request may be sent to.
    std::size_t attempts = 1;
    /// 0 is the most urgent.
    std::int64_t priority = 0;
};

/// Statistics of a request for the metrics. The times are summed over all
/// attempts.
struct request_statistics
{
    organisation_id organisation;
    service_id service;
    std::size_t attempts = 0;
    duration upstream_time{};
    duration queue_time{};
};

/// Whether `method` is idempotent by its definition in RFC 9110.
constexpr bool is_idempotent(http_method method)
{
    return method != http_method::post && method != http_method::patch;
}

} // namespace pomelohinge

#endif
