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
    /// As sent; methods that the configuration does not know are passed on
    /// where a route allows any.
    std::string method = "GET";
    /// Path with query, as sent.
    std::string target;
    /// Host that the request is for, without port; empty if absent.
    std::string host;
    /// Hash of the key, if the request brought one.
    std::optional<key_hash> key;
    /// Id of the request, made by the front if absent.
    std::string request_id;
    /// `Idempotency-Key`, empty if absent.
    std::string idempotency_key;
    /// How long the caller waits, if it said.
    std::optional<std::chrono::milliseconds> deadline;
    /// Size of the body in bytes.
    std::size_t body_bytes = 0;
};

/// A request with all that is passed on.
struct incoming_request
{
    request_head head;
    std::vector<header_field> headers;
    std::string body;
};

/// A request that may go on to the limits and an upstream.
struct admitted_request
{
    /// Empty on a route that is open to all.
    organisation_id organisation;
    service_id service;
    route_id route;
    /// Path with query that the upstream sees.
    std::string path;
    /// Time for the whole request.
    duration time_limit{};
    /// Time within which an answer is of full use; zero if unknown.
    duration goal{};
    bool idempotent = false;
    bool echoes_request_id = true;
    /// Targets that the request may be sent to at most.
    std::size_t attempts = 1;
    /// 0 is the most urgent.
    std::int64_t priority = 0;
};

/// Whether `method` is idempotent by its definition in RFC 9110.
constexpr bool is_idempotent(http_method method)
{
    return method != http_method::post && method != http_method::patch;
}

} // namespace pomelohinge

#endif
