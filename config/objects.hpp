#ifndef POMELOHINGE_CONFIG_OBJECTS_HPP
#define POMELOHINGE_CONFIG_OBJECTS_HPP

#include "core/identifiers.hpp"
#include "core/name_table.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomelohinge {

/// Kinds of configuration objects, in the order in which they are printed.
enum class object_kind {
    service,
    data_centre,
    target,
    floor,
    route,
    correction,
    organisation,
    rate,
    key,
};

template <>
inline constexpr auto name_table<object_kind> = make_name_table<object_kind>({
    {object_kind::service, "services"},
    {object_kind::data_centre, "data_centres"},
    {object_kind::target, "targets"},
    {object_kind::floor, "floors"},
    {object_kind::route, "routes"},
    {object_kind::correction, "corrections"},
    {object_kind::organisation, "organisations"},
    {object_kind::rate, "rates"},
    {object_kind::key, "keys"},
});
static_assert(is_ordered<object_kind>());

/// The HTTP methods that routes may name.
enum class http_method { get, head, post, put, patch, del, options };

template <>
inline constexpr auto name_table<http_method> = make_name_table<http_method>({
    {http_method::get, "GET"},
    {http_method::head, "HEAD"},
    {http_method::post, "POST"},
    {http_method::put, "PUT"},
    {http_method::patch, "PATCH"},
    {http_method::del, "DELETE"},
    {http_method::options, "OPTIONS"},
});
static_assert(is_ordered<http_method>());

/// Desired state of a data centre; `out` means taken out of service.
enum class data_centre_state { serving, out };

template <>
inline constexpr auto
    name_table<data_centre_state> = make_name_table<data_centre_state>({
        {data_centre_state::serving, "serving"},
        {data_centre_state::out, "out"},
    });
static_assert(is_ordered<data_centre_state>());

/// Who may use a route: only callers with a key (`keyed`) or every caller
/// (`open`).
enum class route_access { keyed, open };

template <>
inline constexpr auto name_table<route_access> = make_name_table<route_access>({
    {route_access::keyed, "keyed"},
    {route_access::open, "open"},
});
static_assert(is_ordered<route_access>());

/// Whether running a request more than once has the same effect as running it
/// once. `by_method` decides by the HTTP method.
enum class idempotency_mode { by_method, idempotent, non_idempotent };

template <>
inline constexpr auto
    name_table<idempotency_mode> = make_name_table<idempotency_mode>({
        {idempotency_mode::by_method, "by_method"},
        {idempotency_mode::idempotent, "idempotent"},
        {idempotency_mode::non_idempotent, "non_idempotent"},
    });
static_assert(is_ordered<idempotency_mode>());

/// Desired state of a target; a target that is `leaving` is drained.
enum class desired_target_state { serving, leaving };

template <>
inline constexpr auto
    name_table<desired_target_state> = make_name_table<desired_target_state>({
        {desired_target_state::serving, "serving"},
        {desired_target_state::leaving, "leaving"},
    });
static_assert(is_ordered<desired_target_state>());

/// SHA-256 of an organisation's key.
using key_hash = std::array<std::uint8_t, 32>;

/// A service, which a group of upstreams provides.
struct service_object
{
    /// Whether upstreams always return the request id, so that an answer
    /// without it is invalid. An answer with a different id is always invalid.
    bool echoes_request_id = false;
    /// Path of the health endpoint of the upstreams.
    std::string health_path = "/health";
    /// Time for which an upstream is cold after its start; zero if unknown.
    std::chrono::milliseconds cold_period{0};
    /// Maximum rate of requests to a cold upstream; zero for no limit.
    double cold_requests_per_second = 0;

    friend bool operator==(
        service_object const&, service_object const&) = default;
};

/// A data centre in which targets run.
struct data_centre_object
{
    data_centre_state state = data_centre_state::serving;
    std::string region;

    friend bool operator==(
        data_centre_object const&, data_centre_object const&) = default;
};

/// One instance of the upstreams of a service.
struct target_object
{
    service_id service;
    data_centre_id data_centre;
    /// `IP:PORT`.
    std::string address;
    /// Number of requests that the target can run concurrently.
    std::int64_t slots = 1;
    desired_target_state desired_state = desired_target_state::serving;

    friend bool operator==(
        target_object const&, target_object const&) = default;
};

/// Minimum capacity of a service that ejection must keep; it has the name of
/// the service.
struct floor_object
{
    /// Percentage of the slots of the service that must not be ejected.
    std::int64_t percent = 50;

    friend bool operator==(floor_object const&, floor_object const&) = default;
};

/// One of the services among which a route splits its requests.
struct weighted_service
{
    service_id service;
    /// Weight relative to the other services of the split.
    double weight = 1;

    friend bool operator==(
        weighted_service const&, weighted_service const&) = default;
};

/// Matches requests by host, path and method and maps them to services.
struct route_object
{
    /// The service of the route; may be empty if there is a split.
    service_id service;
    /// Weighted services that replace `service`.
    std::vector<weighted_service> split;
    /// Host that the route matches. If empty, the first segment of the path
    /// names the service.
    std::string host;
    std::string path_prefix = "/";
    /// Methods that the route matches; empty for all methods.
    std::vector<http_method> methods;
    route_access access = route_access::keyed;
    idempotency_mode request_idempotency = idempotency_mode::by_method;
    /// Default deadline of a request, from its arrival. A caller can only
    /// request a shorter one.
    std::chrono::milliseconds deadline{2000};
    /// Latency objective: an answer within this time is fully useful to the
    /// caller. Zero if unknown.
    std::chrono::milliseconds goal{0};
    /// Maximum number of targets to which one request is sent.
    std::int64_t attempts = 4;
    /// Priority of the requests; 0 is the highest.
    std::int64_t priority = 1;

    friend bool operator==(route_object const&, route_object const&) = default;
};

/// Maps a misspelled service name, which is the name of the object, to the
/// correct one.
struct correction_object
{
    service_id service;

    friend bool operator==(
        correction_object const&, correction_object const&) = default;
};

/// An organisation whose callers use the fleet.
struct organisation_object
{
    /// Display name.
    std::string title;
    /// Overrides the priority of the route.
    std::optional<std::int64_t> priority;

    friend bool operator==(
        organisation_object const&, organisation_object const&) = default;
};

/// Rate limit of an organisation; it has the name of the organisation.
struct rate_object
{
    /// Zero for no limit.
    double requests_per_second = 1;
    std::int64_t burst = 1;

    friend bool operator==(rate_object const&, rate_object const&) = default;
};

/// A key with which callers of an organisation authenticate.
struct key_object
{
    organisation_id organisation;
    key_hash hash{};

    friend bool operator==(key_object const&, key_object const&) = default;
};

/// Any object; the alternatives are in the order of `object_kind`.
using any_object = std::variant<service_object, data_centre_object,
    target_object, floor_object, route_object, correction_object,
    organisation_object, rate_object, key_object>;
static_assert(std::variant_size_v<any_object> == enum_count<object_kind>);

/// Returns the kind of `object`.
inline object_kind kind_of(any_object const& object)
{
    return static_cast<object_kind>(object.index());
}

} // namespace pomelohinge

#endif
