#include "servers/routing/router.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace pomelohinge {
namespace {

/// The parts of a request target `/SERVICE/PATH?QUERY`.
struct target_parts
{
    std::string_view service;
    /// From the slash after the service, without the query.
    std::string_view path;
    /// The path with the query.
    std::string_view path_and_query;
};

target_parts split_target(std::string_view target)
{
    if (!target.starts_with('/'))
        return {};
    auto const end = std::min(target.find_first_of("/?", 1), target.size());
    auto const rest = target.substr(end);
    return {target.substr(1, end - 1), rest.substr(0, rest.find('?')), rest};
}

/// Whether `path` starts with the path segments of `prefix`.
bool is_under(std::string_view path, std::string_view prefix)
{
    if (prefix.ends_with('/'))
        prefix.remove_suffix(1);
    return path.starts_with(prefix) &&
        (path.size() == prefix.size() || path[prefix.size()] == '/');
}

bool allows(route_object const& route, std::string_view method)
{
    return route.methods.empty() ||
        std::any_of(route.methods.begin(), route.methods.end(),
            [&](auto it) { return to_name(it) == method; });
}

bool is_request_idempotent(route_object const& route, std::string_view method)
{
    if (route.request_idempotency != idempotency_mode::by_method)
        return route.request_idempotency == idempotency_mode::idempotent;
    auto const known = from_name<http_method>(method);
    return known && is_idempotent(*known);
}

/// Selects a service of the route's split by weight.
service_id const& select_service(route_object const& route, split_draw draw)
{
    double sum = 0;
    for (auto const& it : route.split)
        sum += it.weight;
    auto remaining = draw * sum;
    for (auto const& it : route.split) {
        if (it.weight > 0 && remaining < it.weight)
            return it.service;
        remaining -= it.weight;
    }
    return route.split.back().service;
}

template <class Routes>
void sort_by_prefix(Routes& routes)
{
    for (auto& [name, entries] : routes)
        std::stable_sort(entries.begin(), entries.end(),
            [](auto const& left, auto const& right) {
                return left.route.path_prefix.size() >
                    right.route.path_prefix.size();
            });
}

} // namespace

router::router(configuration const& from) : configuration_(from)
{
    for (auto const& [name, it] : from.table<route_object>()) {
        auto& routes =
            it.host.empty() ? routes_[it.service.text()] : hosts_[it.host];
        routes.push_back({route_id(name), it});
    }
    sort_by_prefix(hosts_);
    sort_by_prefix(routes_);
    auto const& keys = configuration_.table<key_object>();
    keys_.reserve(keys.size());
    for (auto const& [name, it] : keys)
        keys_.emplace(it.hash, &it.organisation);
}

organisation_id const* router::organisation_of(key_hash const& key) const
{
    auto const it = keys_.find(key);
    return it == keys_.end() ? nullptr : it->second;
}

bool router::is_key_valid(
    key_hash const& key, organisation_id const& organisation) const
{
    auto const* const it = organisation_of(key);
    return it != nullptr && *it == organisation;
}

rate_object const* router::rate_of(organisation_id const& organisation) const
{
    auto const* const it =
        configuration_.find<rate_object>(organisation.text());
    return it != nullptr && it->requests_per_second > 0 ? it : nullptr;
}

bool router::is_repeatable(request_head const& head) const
{
    auto const found = find(head);
    return found.entry == nullptr ||
        is_request_idempotent(found.entry->route, head.method);
}

router::match router::find(request_head const& head) const
{
    auto const host = hosts_.find(head.host);
    if (host != hosts_.end())
        return find_by_host(host->second, head);
    return find_by_service(head);
}

router::match router::find_by_host(
    std::vector<route_entry> const& routes, request_head const& head) const
{
    match found;
    found.by_host = true;
    found.path = head.target;
    auto const path =
        std::string_view(head.target).substr(0, head.target.find('?'));
    for (auto const& it : routes) {
        if (!path.starts_with(it.route.path_prefix))
            continue;
        if (allows(it.route, head.method)) {
            found.entry = &it;
            return found;
        }
        found.reason = refusal_kind::method_not_allowed;
    }
    return found;
}

router::match router::find_by_service(request_head const& head) const
{
    auto const parts = split_target(head.target);
    match found;
    found.service = std::string(parts.service);
    if (auto const* const it =
            configuration_.find<correction_object>(found.service))
        found.service = it->service.text();
    found.path = std::string(parts.path_and_query);
    if (!found.path.starts_with('/'))
        found.path.insert(0, "/");
    auto const routes = routes_.find(found.service);
    if (routes == routes_.end())
        return found;
    for (auto const& it : routes->second) {
        if (!is_under(
                parts.path.empty() ? "/" : parts.path, it.route.path_prefix))
            continue;
        if (allows(it.route, head.method)) {
            found.entry = &it;
            return found;
        }
        found.reason = refusal_kind::method_not_allowed;
    }
    return found;
}

refusal router::refuse_service(std::string_view name) const
{
    auto detail = fmt::format("there is no service \"{}\"", name);
    auto const closest = closest_services(name);
    if (!closest.empty())
        detail += fmt::format("; the closest is \"{}\"", closest.front());
    return {refusal_kind::unknown_service, outcome::not_run, detail, {}};
}

std::variant<organisation_id, refusal> router::identify(
    request_head const& head, bool is_open) const
{
    if (!head.key) {
        if (is_open)
            return organisation_id();
        return refusal{refusal_kind::key_missing, outcome::not_run,
            "the route needs a key", {}};
    }
    auto const* const it = organisation_of(*head.key);
    if (it != nullptr)
        return *it;
    if (is_open)
        return organisation_id();
    return refusal{refusal_kind::key_unknown, outcome::not_run,
        "the key is not in force", {}};
}

admission router::admit(request_head const& head, split_draw draw) const
{
    auto const found = find(head);
    auto const* const entry = found.entry;
    if (entry == nullptr && found.by_host)
        return refuse_route(found, head);
    bool const is_open =
        entry != nullptr && entry->route.access == route_access::open;
    auto identified = identify(head, is_open);
    if (auto* const it = std::get_if<refusal>(&identified))
        return std::move(*it);

    auto const service = entry != nullptr && !entry->route.split.empty()
        ? select_service(entry->route, draw).text()
        : entry != nullptr ? entry->route.service.text()
                           : found.service;
    auto const* const object = configuration_.find<service_object>(service);
    if (object == nullptr)
        return refuse_service(service);
    if (entry == nullptr)
        return refuse_route(found, head);
    if (head.deadline && head.deadline->count() <= 0)
        return refusal{refusal_kind::deadline_passed, outcome::not_run,
            "the deadline has passed already", {}};

    auto const& route = entry->route;
    admitted_request admitted;
    admitted.organisation = std::get<organisation_id>(std::move(identified));
    admitted.service = service_id(service);
    admitted.route = entry->id;
    admitted.path = found.path;
    admitted.time_limit =
        std::min(head.deadline.value_or(route.deadline), route.deadline);
    admitted.goal = route.goal;
    admitted.idempotent = is_request_idempotent(route, head.method);
    admitted.echoes_request_id = object->echoes_request_id;
    admitted.attempts = static_cast<std::size_t>(route.attempts);
    admitted.priority = priority_of(route, admitted.organisation);
    return admitted;
}

refusal router::refuse_route(match const& found, request_head const& head)
{
    return {found.reason, outcome::not_run,
        fmt::format("there is no route for {} {}", head.method,
            found.path.substr(0, found.path.find('?'))),
        {}};
}

std::int64_t router::priority_of(
    route_object const& route, organisation_id const& organisation) const
{
    auto const* const it =
        configuration_.find<organisation_object>(organisation.text());
    return it != nullptr && it->priority ? *it->priority : route.priority;
}

std::vector<std::string> router::closest_services(std::string_view name) const
{
    constexpr std::size_t max_names = 3;
    // Names at a larger distance are not useful suggestions.
    auto const max_distance = std::max<std::size_t>(2, name.size() / 2);
    std::vector<std::pair<std::size_t, std::string>> ranked;
    for (auto const& [service, object] :
        configuration_.table<service_object>()) {
        auto const distance = edit_distance(name, service);
        if (distance <= max_distance)
            ranked.emplace_back(distance, service);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    for (auto const& [distance, service] : ranked)
        if (names.size() < max_names)
            names.push_back(service);
    return names;
}

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    auto const width = right.size() + 1;
    std::vector<std::size_t> row_before_last(width), last_row(width),
        row(width);
    for (std::size_t it = 0; it < width; ++it)
        last_row[it] = it;
    for (std::size_t l = 1; l <= left.size(); ++l) {
        row[0] = l;
        for (std::size_t r = 1; r < width; ++r) {
            bool const same = left[l - 1] == right[r - 1];
            row[r] = std::min({last_row[r] + 1, row[r - 1] + 1,
                last_row[r - 1] + (same ? 0 : 1)});
            bool const is_transposed = l > 1 && r > 1 &&
                left[l - 1] == right[r - 2] && left[l - 2] == right[r - 1];
            if (is_transposed)
                row[r] = std::min(row[r], row_before_last[r - 2] + 1);
        }
        row_before_last.swap(last_row);
        last_row.swap(row);
    }
    return last_row[right.size()];
}

} // namespace pomelohinge
