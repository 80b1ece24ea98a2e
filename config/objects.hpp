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

/// The kinds of configuration objects, in the order of their text.
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

/// What operators want of a data centre.
enum class data_centre_state { serving, out };

template <>
inline constexpr auto
    name_table<data_centre_state> = make_name_table<data_centre_state>({
        {data_centre_state::serving, "serving"},
        {data_centre_state::out, "out"},
    });
static_assert(is_ordered<data_centre_state>());

/// Who may use a route.
enum class route_access { keyed, open };

template <>
inline constexpr auto name_table<route_access> = make_name_table<route_access>({
    {route_access::keyed, "keyed"},
    {route_access::open, "open"},
});
static_assert(is_ordered<route_access>());

/// Whether a request may be run more than once.
enum class idempotency_mode { by_method, idempotent, non_idempotent };

template <>
inline constexpr auto
    name_table<idempotency_mode> = make_name_table<idempotency_mode>({
        {idempotency_mode::by_method, "by_method"},
        {idempotency_mode::idempotent, "idempotent"},
        {idempotency_mode::non_idempotent, "non_idempotent"},
    });
static_assert(is_ordered<idempotency_mode>());

/// What operators want of a target.
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

struct service_object
{
    /// Whether upstreams always return the request id, so that an answer
    /// without it is wrong. A different one is always wrong.
    bool echoes_request_id = false;
    /// Path of the upstreams' health endpoint.
    std::string health_path = "/health";
    /// How long an upstream is cold after its start; zero if unknown.
    std::chrono::milliseconds cold_period{0};
    /// Requests a second that a cold upstream bears; zero for no bound.
    double cold_requests_per_second = 0;

    friend bool operator==(
        service_object const&, service_object const&) = default;
};

struct data_centre_object
{
    data_centre_state state = data_centre_state::serving;
    std::string region;

    friend bool operator==(
        data_centre_object const&, data_centre_object const&) = default;
};

struct target_object
{
    service_id service;
    data_centre_id data_centre;
    /// `IP:PORT`.
    std::string address;
    /// Requests that the target runs at the same time.
    std::int64_t slots = 1;
    desired_target_state desired_state = desired_target_state::serving;

    friend bool operator==(
        target_object const&, target_object const&) = default;
};

/// The least healthy capacity of a service; it is named by its service.
struct floor_object
{
    /// Share of the service's slots that ejection must leave, in percent.
    std::int64_t percent = 50;

    friend bool operator==(floor_object const&, floor_object const&) = default;
};

/// One of the services that a route divides its requests among.
struct weighted_service
{
    service_id service;
    /// Share of the requests, relative to the other weights.
    double weight = 1;

    friend bool operator==(
        weighted_service const&, weighted_service const&) = default;
};

struct route_object
{
    /// Empty on a route with a split.
    service_id service;
    /// Services in place of the one above, with their weights.
    std::vector<weighted_service> split;
    /// The host that the route is for. Without one, the first segment of
    /// the path names the service.
    std::string host;
    std::string path_prefix = "/";
    /// Empty for any method.
    std::vector<http_method> methods;
    route_access access = route_access::keyed;
    idempotency_mode request_idempotency = idempotency_mode::by_method;
    /// Deadline of a request that brings none, and the longest it may ask.
    std::chrono::milliseconds deadline{2000};
    /// Time within which an answer is of full use; zero if unknown.
    std::chrono::milliseconds goal{0};
    /// Targets that one request may be sent to at most.
    std::int64_t attempts = 4;
    /// Rank among routes; 0 is the most urgent.
    std::int64_t priority = 1;

    friend bool operator==(route_object const&, route_object const&) = default;
};

/// A misspelled service name, by which it is named, and the right one.
struct correction_object
{
    service_id service;

    friend bool operator==(
        correction_object const&, correction_object const&) = default;
};

struct organisation_object
{
    /// A name for people.
    std::string title;
    /// Goes before the priority of the route.
    std::optional<std::int64_t> priority;

    friend bool operator==(
        organisation_object const&, organisation_object const&) = default;
};

/// Rate and burst of an organisation, by which it is named.
struct rate_object
{
    /// 0 for no limit.
    double requests_per_second = 1;
    std::int64_t burst = 1;

    friend bool operator==(rate_object const&, rate_object const&) = default;
};

struct key_object
{
    organisation_id organisation;
    key_hash hash{};

    friend bool operator==(key_object const&, key_object const&) = default;
};

/// Any object; the alternatives stand in the order of `object_kind`.
using any_object = std::variant<service_object, data_centre_object,
    target_object, floor_object, route_object, correction_object,
    organisation_object, rate_object, key_object>;
static_assert(std::variant_size_v<any_object> == enum_count<object_kind>);

/// The kind of `object`.
inline object_kind kind_of(any_object const& object)
{
    return static_cast<object_kind>(object.index());
}

} // namespace pomelohinge

#endif
