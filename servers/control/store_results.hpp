#ifndef POMELOHINGE_SERVERS_CONTROL_STORE_RESULTS_HPP
#define POMELOHINGE_SERVERS_CONTROL_STORE_RESULTS_HPP

#include "core/name_table.hpp"
#include "servers/exchange/sync.hpp"

#include <functional>
#include <vector>

namespace pomelohinge {

/// How a call to the store ended.
enum class store_status {
    done,
    /// The object is not as the call expected.
    conflict,
    /// The store has forgotten what changed since the revision asked for.
    history_gone,
    /// Refused, or not answered: a write may have taken effect.
    unavailable,
};

template <>
inline constexpr auto name_table<store_status> = make_name_table<store_status>({
    {store_status::done, "done"},
    {store_status::conflict, "conflict"},
    {store_status::history_gone, "history_gone"},
    {store_status::unavailable, "unavailable"},
});
static_assert(is_ordered<store_status>());

/// A read that shows the configuration in force when it was made.
struct configuration_result
{
    store_status status = store_status::unavailable;
    configuration_document document;
};

struct targets_result
{
    store_status status = store_status::unavailable;
    target_changes changes;
};

struct closures_result
{
    store_status status = store_status::unavailable;
    data_centre_closures closures;
};

struct vms_result
{
    store_status status = store_status::unavailable;
    std::vector<vm_record> vms;
};

/// The store as control needs it. Replies come once, later, on the thread
/// that asked.
template <class Store>
concept FleetStore = requires(
    Store& store, std::uint64_t revision, duration wait, vm_record const& vm)
{
    store.read_configuration(std::function<void(configuration_result)>());
    store.list_targets(std::function<void(targets_result)>());
    store.watch_targets(revision, wait, std::function<void(targets_result)>());
    store.list_closures(std::function<void(closures_result)>());
    store.list_vms(std::function<void(vms_result)>());
    store.register_vm(vm, std::function<void(store_status)>());
    store.remove_vm(vm.vm, std::function<void(store_status)>());
};

} // namespace pomelohinge

#endif
