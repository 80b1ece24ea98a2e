#include "servers/routing/router.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace pomelohinge {
namespace {

/// A request target taken apart: `/SERVICE/PATH?QUERY`.
struct target_parts
{
    std::string_view service;
    /// From the slash behind the service, without the query.
    std::string_view path;
    /// As `path`, with the query.
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

/// Whether `path` lies under `prefix`, which ends at a segment.
bool is_under(std::string_view path, std::string_view prefix)
{
    if (prefix.ends_with('/'))
        prefix.remove_suffix(1);
    return path.starts_with(prefix) &&
        (path.size() == prefix.size() || path[prefix.size()] == '/');
}

bool allows(route_object const& route, http_method method)
{
    return std::find(route.methods.begin(), route.methods.end(), method) !=
        route.methods.end();
}

bool may_repeat(route_object const& route, http_method method)
{
    if (route.repeat == idempotency::by_method)
        return is_idempotent(method);
    return route.repeat == idempotency::idempotent;
}

} // namespace

router::router(configuration const& from) : configuration_(from)
{
    for (auto const& [name, it] : from.table<route_object>())
        routes_[it.service.text()].push_back({route_id(name), it});
    for (auto& [service, entries] : routes_)
        std::stable_sort(entries.begin(), entries.end(),
            [](auto const& left, auto const& right) {
                return left.route.path_prefix.size() >
                    right.route.path_prefix.size();
            });
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

bool router::key_in_force(
    key_hash const& key, organisation_id const& organisation) const
{
    auto const* const it = organisation_of(key);
    return it != nullptr && *it == organisation;
}

router::route_entry const* router::find_route(std::string_view service,
    std::string_view path, http_method method, refusal_kind& reason) const
{
    reason = refusal_kind::no_route;
    auto const it = routes_.find(service);
    if (it == routes_.end())
        return nullptr;
    for (auto const& entry : it->second) {
        if (!is_under(path.empty() ? "/" : path, entry.route.path_prefix))
            continue;
        if (allows(entry.route, method))
            return &entry;
        reason = refusal_kind::method_not_allowed;
    }
    return nullptr;
}

refusal router::refuse_service(std::string_view name) const
{
    auto detail = fmt::format("there is no service \"{}\"", name);
    auto const closest = closest_services(name);
    if (!closest.empty())
        detail += fmt::format("; the closest is \"{}\"", closest.front());
    return {refusal_kind::unknown_service, outcome::not_run, detail, {}};
}

admission router::admit(request_head const& head) const
{
    auto const parts = split_target(head.target);
    auto service = std::string(parts.service);
    if (auto const* const it = configuration_.find<correction_object>(service))
        service = it->service.text();

    auto reason = refusal_kind::no_route;
    auto const* const entry =
        find_route(service, parts.path, head.method, reason);
    bool const is_open =
        entry != nullptr && entry->route.access == route_access::open;

    organisation_id organisation;
    if (head.key) {
        auto const* const it = organisation_of(*head.key);
        if (it == nullptr && !is_open)
            return refusal{refusal_kind::key_unknown, outcome::not_run,
                "the key is not in force", {}};
        if (it != nullptr)
            organisation = *it;
    } else if (!is_open) {
        return refusal{refusal_kind::key_missing, outcome::not_run,
            "the route needs \"Authorization: Bearer KEY\"", {}};
    }

    auto const* const object = configuration_.find<service_object>(service);
    if (object == nullptr)
        return refuse_service(parts.service);
    if (entry == nullptr)
        return refusal{reason, outcome::not_run,
            fmt::format("service \"{}\" has no route for {} {}", service,
                to_name(head.method), parts.path),
            {}};
    if (head.deadline && head.deadline->count() <= 0)
        return refusal{refusal_kind::deadline_passed, outcome::not_run,
            "the deadline has passed already", {}};

    admitted_request admitted;
    admitted.organisation = std::move(organisation);
    admitted.service = service_id(std::move(service));
    admitted.route = entry->id;
    admitted.path = std::string(parts.path_and_query);
    if (!admitted.path.starts_with('/'))
        admitted.path.insert(0, "/");
    admitted.deadline = std::min(
        head.deadline.value_or(entry->route.deadline), entry->route.deadline);
    admitted.idempotent = may_repeat(entry->route, head.method);
    admitted.echoes_request_id = object->echoes_request_id;
    return admitted;
}

std::vector<std::string> router::closest_services(std::string_view name) const
{
    constexpr std::size_t most_names = 3;
    // Names further away than this are no help.
    auto const furthest = std::max<std::size_t>(2, name.size() / 2);
    std::vector<std::pair<std::size_t, std::string>> ranked;
    for (auto const& [service, object] :
        configuration_.table<service_object>()) {
        auto const distance = edit_distance(name, service);
        if (distance <= furthest)
            ranked.emplace_back(distance, service);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    for (auto const& [distance, service] : ranked)
        if (names.size() < most_names)
            names.push_back(service);
    return names;
}

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    auto const width = right.size() + 1;
    std::vector<std::size_t> before(width), last(width), row(width);
    for (std::size_t it = 0; it < width; ++it)
        last[it] = it;
    for (std::size_t l = 1; l <= left.size(); ++l) {
        row[0] = l;
        for (std::size_t r = 1; r < width; ++r) {
            bool const same = left[l - 1] == right[r - 1];
            row[r] = std::min(
                {last[r] + 1, row[r - 1] + 1, last[r - 1] + (same ? 0 : 1)});
            bool const swapped = l > 1 && r > 1 &&
                left[l - 1] == right[r - 2] && left[l - 2] == right[r - 1];
            if (swapped)
                row[r] = std::min(row[r], before[r - 2] + 1);
        }
        before.swap(last);
        last.swap(row);
    }
    return last[right.size()];
}

} // namespace pomelohinge
