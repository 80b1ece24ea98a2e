#include "config/configuration.hpp"

#include "config/object_codec.hpp"
#include "core/json_text.hpp"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <fmt/format.h>

namespace pomelohinge {
namespace {

/// The kind of objects of type `Object`.
template <class Object>
object_kind const kind_for = kind_of(any_object(Object{}));

/// Adds the differences between the tables of one kind. Both tables are sorted
/// by name and are traversed in parallel.
template <class Object>
void add_difference(configuration const& from, configuration const& to,
    std::vector<configuration_change>& changes)
{
    auto const& before = from.table<Object>();
    auto const& after = to.table<Object>();
    if (&before == &after)
        return;
    auto old = before.begin();
    auto next = after.begin();
    while (old != before.end() || next != after.end()) {
        bool const removed = next == after.end() ||
            (old != before.end() && old->first < next->first);
        if (removed) {
            changes.push_back({kind_for<Object>, old->first, {}});
            ++old;
            continue;
        }
        bool const kept = old != before.end() && old->first == next->first;
        if (!kept || !(old->second == next->second))
            changes.push_back({kind_for<Object>, next->first, next->second});
        if (kept)
            ++old;
        ++next;
    }
}

/// Checks references between the objects of one configuration.
class reference_checker
{
public:
    reference_checker(configuration const& checked, findings& found)
        : checked_(checked), found_(found)
    {
    }

    void check()
    {
        for (auto const& [name, it] : checked_.table<target_object>())
            check_target(name, it);
        for (auto const& [name, it] : checked_.table<floor_object>())
            require<service_object>(object_kind::floor, name, name);
        for (auto const& [name, it] : checked_.table<route_object>())
            check_route(name, it);
        for (auto const& [name, it] : checked_.table<correction_object>())
            check_correction(name, it);
        for (auto const& [name, it] : checked_.table<organisation_object>())
            if (!checked_.find<rate_object>(name))
                add(object_kind::organisation, name,
                    "the organisation has no rate");
        for (auto const& [name, it] : checked_.table<rate_object>())
            require<organisation_object>(object_kind::rate, name, name);
        for (auto const& [name, it] : checked_.table<key_object>())
            check_key(name, it);
    }

private:
    void add(object_kind kind, std::string const& name, std::string message)
    {
        found_.add({},
            fmt::format("/{}/{}", to_name(kind), escape_pointer_token(name)),
            std::move(message));
    }

    template <class Object>
    void require(object_kind kind, std::string const& name,
        std::string const& referenced)
    {
        if (!checked_.find<Object>(referenced))
            add(kind, name,
                fmt::format("\"{}\" is not defined in \"{}\"", referenced,
                    to_name(kind_for<Object>)));
    }

    void check_target(std::string const& name, target_object const& it)
    {
        require<service_object>(object_kind::target, name, it.service.text());
        require<data_centre_object>(
            object_kind::target, name, it.data_centre.text());
        auto const [other, inserted] = addresses_.emplace(it.address, name);
        if (!inserted)
            add(object_kind::target, name,
                "the address is already used by target \"" + other->second +
                    "\"");
    }

    void check_route(std::string const& name, route_object const& it)
    {
        if (it.split.empty())
            require<service_object>(
                object_kind::route, name, it.service.text());
        for (auto const& part : it.split)
            require<service_object>(
                object_kind::route, name, part.service.text());
    }

    void check_correction(std::string const& name, correction_object const& it)
    {
        if (checked_.find<service_object>(name))
            add(object_kind::correction, name, "a service of this name exists");
        if (checked_.find<correction_object>(it.service.text()))
            return add(object_kind::correction, name,
                "it refers to another correction");
        require<service_object>(
            object_kind::correction, name, it.service.text());
    }

    void check_key(std::string const& name, key_object const& it)
    {
        require<organisation_object>(
            object_kind::key, name, it.organisation.text());
        auto const [other, inserted] = hashes_.emplace(it.hash, name);
        if (!inserted)
            add(object_kind::key, name,
                "the hash is already used by key \"" + other->second + "\"");
    }

    configuration const& checked_;
    findings& found_;
    absl::flat_hash_map<std::string, std::string> addresses_;
    absl::flat_hash_map<key_hash, std::string> hashes_;
};

template <class... Objects>
void add_differences(std::variant<Objects...> const*, configuration const& from,
    configuration const& to, std::vector<configuration_change>& changes)
{
    (add_difference<Objects>(from, to, changes), ...);
}

} // namespace

configuration::configuration()
{
    std::apply(
        [](auto&... it) {
            ((it = std::make_shared<
                  typename std::decay_t<decltype(it)>::element_type>()),
                ...);
        },
        tables_);
}

template <class Object>
void configuration::apply_changes(
    std::vector<configuration_change> const& changes)
{
    auto const is_of_kind = [](auto const& it) {
        return it.kind == kind_for<Object>;
    };
    if (std::none_of(changes.begin(), changes.end(), is_of_kind))
        return;
    auto copy = std::make_shared<object_table<Object>>(table<Object>());
    for (auto const& it : changes) {
        if (!is_of_kind(it))
            continue;
        if (it.object)
            (*copy)[it.name] = std::get<Object>(*it.object);
        else
            copy->erase(it.name);
    }
    std::get<table_pointer<Object>>(tables_) = std::move(copy);
}

configuration configuration::with(
    std::vector<configuration_change> const& changes) const
{
    auto next = *this;
    auto const apply_all = [&]<class... Objects>(
                               std::variant<Objects...> const*) {
        (next.apply_changes<Objects>(changes), ...);
    };
    apply_all(static_cast<any_object const*>(nullptr));
    return next;
}

std::optional<any_object> configuration::find_any(
    object_kind kind, std::string_view name) const
{
    std::optional<any_object> result;
    std::apply(
        [&](auto const&... tables) {
            auto const search = [&](auto const& objects) {
                using object_type =
                    typename std::decay_t<decltype(objects)>::mapped_type;
                if (kind_for<object_type> != kind)
                    return;
                auto const it = objects.find(name);
                if (it != objects.end())
                    result = it->second;
            };
            (search(*tables), ...);
        },
        tables_);
    return result;
}

std::size_t configuration::size() const
{
    return std::apply(
        [](auto const&... it) { return (it->size() + ...); }, tables_);
}

std::vector<configuration_change> difference(
    configuration const& from, configuration const& to)
{
    std::vector<configuration_change> changes;
    add_differences(static_cast<any_object const*>(nullptr), from, to, changes);
    return changes;
}

void check_configuration(configuration const& checked, findings& found)
{
    reference_checker(checked, found).check();
}

} // namespace pomelohinge
