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

/// Objects of one kind by name.
template <class Object>
using object_table = absl::btree_map<std::string, Object, std::less<>>;

/// One object that is put or, without a body, removed.
struct configuration_change
{
    object_kind kind;
    std::string name;
    std::optional<any_object> object;

    friend bool operator==(
        configuration_change const&, configuration_change const&) = default;
};

/// What operators have configured. A cheap value: copies share their tables,
/// and a change copies only the table of the kind it touches.
class configuration
{
public:
    configuration();

    /// All objects of one kind.
    template <class Object>
    object_table<Object> const& table() const
    {
        return *std::get<pointer<Object>>(tables_);
    }

    /// The object of that name, or null.
    template <class Object>
    Object const* find(std::string_view name) const
    {
        auto const& objects = table<Object>();
        auto const it = objects.find(name);
        return it == objects.end() ? nullptr : &it->second;
    }

    /// This configuration with `changes` applied in order.
    configuration with(std::vector<configuration_change> const& changes) const;

    /// The object of that kind and name, if there is one.
    std::optional<any_object> find_any(
        object_kind kind, std::string_view name) const;

    /// Calls `visit(kind, name, object)` for each object, in the order of
    /// kinds and names.
    template <class Visitor>
    void for_each(Visitor&& visit) const
    {
        auto const visit_table = [&](auto const& objects) {
            for (auto const& [name, object] : *objects)
                visit(kind_of(any_object(object)), name, object);
        };
        std::apply([&](auto const&... it) { (visit_table(it), ...); }, tables_);
    }

    std::size_t size() const;

private:
    /// Tables are immutable once shared, so sharing needs no locks.
    template <class Object>
    using pointer = std::shared_ptr<object_table<Object> const>;

    template <class Variant>
    struct pointers;
    template <class... Objects>
    struct pointers<std::variant<Objects...>>
    {
        using type = std::tuple<pointer<Objects>...>;
    };

    template <class Object>
    void apply_kind(std::vector<configuration_change> const& changes);

    pointers<any_object>::type tables_;
};

/// The changes that lead from `from` to `to`, in the order of kinds and
/// names, so that equal inputs give equal text.
std::vector<configuration_change> difference(
    configuration const& from, configuration const& to);

/// Checks what no single object shows: references between objects, rates of
/// organisations, corrections that hide a service, chain or form a cycle.
/// Findings carry the path `/KIND/NAME`.
void check_configuration(configuration const& checked, findings& found);

} // namespace pomelohinge

#endif
