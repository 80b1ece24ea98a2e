#ifndef POMELOHINGE_CONFIG_CONFIGURATION_HPP
#define POMELOHINGE_CONFIG_CONFIGURATION_HPP

#include "config/objects.hpp"
#include "core/findings.hpp"

#include <absl/container/btree_map.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace pomelohinge {

/// Objects of one kind, sorted by name.
template <class Object>
using object_table = absl::btree_map<std::string, Object, std::less<>>;

/// A change to one object: `object` replaces or adds it; without a value, the
/// object is removed.
struct configuration_change
{
    object_kind kind;
    std::string name;
    std::optional<any_object> object;

    friend bool operator==(
        configuration_change const&, configuration_change const&) = default;
};

/// The configuration made by operators: all objects by kind and name. It is
/// cheap to copy, because copies share their tables; a change copies only the
/// tables of the kinds that it affects.
class configuration
{
public:
    configuration();

    /// All objects of one kind.
    template <class Object>
    object_table<Object> const& table() const
    {
        return *std::get<table_pointer<Object>>(tables_);
    }

    /// Returns the object `name`, or null if there is none.
    template <class Object>
    Object const* find(std::string_view name) const
    {
        auto const& objects = table<Object>();
        auto const it = objects.find(name);
        return it == objects.end() ? nullptr : &it->second;
    }

    /// Returns a copy of this configuration with `changes` applied in order.
    configuration with(std::vector<configuration_change> const& changes) const;

    /// Returns the object of `kind` and `name`; empty if there is none.
    std::optional<any_object> find_any(
        object_kind kind, std::string_view name) const;

    /// Calls `visit(kind, name, object)` for each object, ordered by kind and
    /// then by name.
    template <class Visitor>
    void for_each(Visitor&& visit) const
    {
        auto const visit_table = [&](auto const& objects) {
            for (auto const& [name, object] : *objects)
                visit(kind_of(any_object(object)), name, object);
        };
        std::apply([&](auto const&... it) { (visit_table(it), ...); }, tables_);
    }

    /// Number of objects of all kinds.
    std::size_t size() const;

private:
    /// Tables are immutable, so they can be shared between threads without
    /// locks.
    template <class Object>
    using table_pointer = std::shared_ptr<object_table<Object> const>;

    /// Maps a variant to the tuple of table pointers of its alternatives.
    template <class Variant>
    struct table_pointers;
    template <class... Objects>
    struct table_pointers<std::variant<Objects...>>
    {
        using type = std::tuple<table_pointer<Objects>...>;
    };

    template <class Object>
    void apply_changes(std::vector<configuration_change> const& changes);

    table_pointers<any_object>::type tables_;
};

/// Returns the changes that turn `from` into `to`, ordered by kind and then by
/// name, so that equal inputs give equal text.
std::vector<configuration_change> difference(
    configuration const& from, configuration const& to);

/// Checks constraints between objects: references are valid, each organisation
/// has a rate, addresses of targets and hashes of keys are unique, and no
/// correction has the name of a service or refers to another correction, which
/// also excludes cycles. Findings have the path `/KIND/NAME` and no position.
void check_configuration(configuration const& checked, findings& found);

} // namespace pomelohinge

#endif
