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

/// Either the admitted request or the reason against it.
using admission = std::variant<admitted_request, refusal>;

/// A number between 0 and 1 by which a request is given its part of a split.
using split_draw = double;

/// Decides who a request is for and which service it goes to: key, host,
/// name correction and route. Built from one configuration and immutable.
class router
{
public:
    explicit router(configuration const& from);
    router(router const&) = delete;
    router& operator=(router const&) = delete;

    /// Decides on one request. The key is checked first, so that a caller
    /// without one learns nothing of services, except on open routes.
    /// `draw` chooses among the services of a split.
    admission admit(request_head const& head, split_draw draw) const;

    /// The limit of an organisation, or null if it has none.
    rate_object const* rate_of(organisation_id const& organisation) const;

    /// The organisation of a key, or null.
    organisation_id const* organisation_of(key_hash const& key) const;

    /// Whether the key of `organisation` that a waiting request came with is
    /// still in force.
    bool is_key_valid(
        key_hash const& key, organisation_id const& organisation) const;

    /// Known service names nearest to `name`, best first, three at most.
    std::vector<std::string> closest_services(std::string_view name) const;

private:
    struct route_entry
    {
        route_id id;
        route_object route;
    };

    /// What the head of a request leads to.
    struct match
    {
        route_entry const* entry = nullptr;
        refusal_kind reason = refusal_kind::no_route;
        std::string service;
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
    /// The organisations are those of the configuration's key objects.
    absl::flat_hash_map<key_hash, organisation_id const*> keys_;
};

/// Edits that turn `left` into `right`: insertions, deletions, replacements
/// and swaps of neighbours.
std::size_t edit_distance(std::string_view left, std::string_view right);

} // namespace pomelohinge

#endif
