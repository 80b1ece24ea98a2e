#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_VIEW_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_VIEW_HPP

#include "core/identifiers.hpp"
#include "core/name_table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelohinge {

/// What the view says of a VM.
enum class vm_standing {
    /// It owns and serves.
    serving,
    /// It owns nothing any more and finishes what runs.
    leaving,
};

template <>
inline constexpr auto name_table<vm_standing> = make_name_table<vm_standing>({
    {vm_standing::serving, "serving"},
    {vm_standing::leaving, "leaving"},
});
static_assert(is_ordered<vm_standing>());

/// One VM of a view.
struct vm_record
{
    vm_id vm;
    data_centre_id data_centre;
    std::string peers_address;
    std::string callers_address;
    /// Tells two processes on the same VM apart.
    std::uint64_t incarnation = 0;
    vm_standing standing = vm_standing::serving;

    friend bool operator==(vm_record const&, vm_record const&) = default;
};

/// The agreed VMs of one data centre. Its epoch rises with each change; the
/// object in the store is the only place where it is agreed.
struct data_centre_view
{
    data_centre_id data_centre;
    std::uint64_t epoch = 0;
    /// Sorted by name.
    std::vector<vm_record> vms;

    friend bool operator==(
        data_centre_view const&, data_centre_view const&) = default;
};

/// Epoch of each data centre's view.
using view_epochs = std::map<data_centre_id, std::uint64_t>;

/// Whether `later` knows every change that `earlier` knows.
bool covers(view_epochs const& later, view_epochs const& earlier);

/// The views of all data centres.
class fleet_view
{
public:
    /// Takes `view` if its epoch is higher than the one held. Returns
    /// whether it was taken.
    bool adopt(data_centre_view view);

    /// The view of `data_centre`, or null.
    data_centre_view const* find(data_centre_id const& data_centre) const;

    /// The record of `vm`, or null.
    vm_record const* find(vm_id const& vm) const;

    std::map<data_centre_id, data_centre_view> const& data_centres() const
    {
        return views_;
    }

    /// All records, data centre by data centre.
    std::vector<vm_record> vms() const;

    std::size_t size() const;

    view_epochs epochs() const;

    /// Equal for equal epochs of all data centres.
    std::uint64_t digest() const;

private:
    std::map<data_centre_id, data_centre_view> views_;
};

/// VMs of `after` that are not in `before` with the same incarnation.
std::vector<vm_record> joined_between(
    fleet_view const& before, fleet_view const& after);

/// `view` with `record` put in place of the one of the same name.
data_centre_view with_vm(data_centre_view view, vm_record record);

/// `view` without that incarnation of the VM; unchanged if it is not there.
data_centre_view without_vm(data_centre_view view, vm_record const& record);

} // namespace pomelohinge

#endif
