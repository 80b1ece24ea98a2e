#ifndef POMELOHINGE_SERVERS_OWNERSHIP_RENDEZVOUS_HPP
#define POMELOHINGE_SERVERS_OWNERSHIP_RENDEZVOUS_HPP

#include "core/name_table.hpp"
#include "servers/membership/view.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// What is owned.
enum class owned_kind { target, organisation, service, watcher };

template <>
inline constexpr auto name_table<owned_kind> = make_name_table<owned_kind>({
    {owned_kind::target, "target"},
    {owned_kind::organisation, "organisation"},
    {owned_kind::service, "service"},
    {owned_kind::watcher, "watcher"},
});
static_assert(is_ordered<owned_kind>());

/// Ranks VMs for keys by highest random weight (Thaler and Ravishankar,
/// 1998): a VM that comes or goes moves only the keys that it ranks first
/// for. Built from one view and immutable.
class rendezvous
{
public:
    explicit rendezvous(fleet_view const& view);

    /// The first `count` serving VMs for the key, best first. With a data
    /// centre, only its VMs are ranked, unless it has none that serves.
    std::vector<vm_record const*> rank(owned_kind kind, std::string_view key,
        std::size_t count, data_centre_id const* within = nullptr) const;

    /// Whether `vm` is among those ranked within a data centre.
    bool is_ranked(vm_id const& vm, data_centre_id const& within) const;

    /// The first VM for the key; null if no VM serves.
    vm_record const* owner(owned_kind kind, std::string_view key,
        data_centre_id const* within = nullptr) const;

private:
    struct seat
    {
        vm_record record;
        std::uint64_t hash;
    };

    std::vector<seat> const& seats(data_centre_id const* within) const;

    std::vector<seat> all_;
    std::map<data_centre_id, std::vector<seat>> by_data_centre_;
};

} // namespace pomelohinge

#endif
