#ifndef POMELOHINGE_SERVERS_ROUTING_ROUTER_HPP
#define POMELOHINGE_SERVERS_ROUTING_ROUTER_HPP

#include "config/configuration.hpp"
#include "core/text_map.hpp"
#include "servers/requests/refusal.hpp"
#include "servers/requests/request.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pomelohinge {

/// Either the admitted request or the refusal.
using admission = std::variant<admitted_request, refusal>;

/// A random number in [0, 1) that selects a service of a traffic split.
using split_draw = double;

/// Authenticates requests and routes them to services by host, path, method
/// and corrections of misspelled service names. Built from one configuration
/// and immutable.
class router
{
public:
    explicit router(configuration const& from);
    router(router const&) = delete;
    router& operator=(router const&) = delete;

    /// Admits or refuses one request. The key is checked first, so that the
    /// refusal of a caller without one does not reveal which services exist,
    /// except on open routes. `draw` selects a service of a traffic split.
    admission admit(request_head const& head, split_draw draw) const;

    /// Whether the request may be repeated. True if it has no route, since it
    /// is refused then.
    bool is_repeatable(request_head const& head) const;

    /// The rate limit of an organisation, or null if it has none.
    rate_object const* rate_of(organisation_id const& organisation) const;

    /// The organisation of a key, or null if the configuration has no such key.
    organisation_id const* organisation_of(key_hash const& key) const;

    /// Whether the key is still a key of `organisation`. Checked again for
    /// requests that have waited, since the key may have been withdrawn.
    bool is_key_valid(
        key_hash const& key, organisation_id const& organisation) const;

    /// Names of existing services closest to `name` by edit distance, closest
    /// first, at most three.
    std::vector<std::string> closest_services(std::string_view name) const;

private:
    struct route_entry
    {
        route_id id;
        route_object route;
    };

    /// Result of the route lookup for a request.
    struct match
    {
        /// Null if no route matches; then `reason` is the refusal.
        route_entry const* entry = nullptr;
        refusal_kind reason = refusal_kind::no_route;
        /// The service in the request target, after corrections. Empty if the
        /// route was looked up by host.
        std::string service;
        /// Path and query for the upstream.
        std::string path;
        bool by_host = false;
    };

    match find(request_head const& head) const;
    match find_by_host(
        std::vector<route_entry> const& routes, request_head const& head) const;
    match find_by_service(request_head const& head) const;
    std::variant<organisation_id, refusal> identify(
        request_head const& head, bool is_open) const;
    std::int64_t priority_of(
        route_object const& route, organisation_id const& organisation) const;
    static refusal refuse_route(match const& found, request_head const& head);
    refusal refuse_service(std::string_view name) const;

    configuration configuration_;
    /// Routes by host and by service, longest prefix first.
    text_map<std::vector<route_entry>> hosts_;
    text_map<std::vector<route_entry>> routes_;
    /// Points to the organisations in the configuration's key objects.
    absl::flat_hash_map<key_hash, organisation_id const*> keys_;
};

/// The number of edits that turn `left` into `right`: insertions, deletions,
/// substitutions and transpositions of adjacent characters.
std::size_t edit_distance(std::string_view left, std::string_view right);

} // namespace pomelohinge

#endif
