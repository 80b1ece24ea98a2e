#ifndef POMELOHINGE_SERVERS_CONTROL_CONTROL_ENVIRONMENT_HPP
#define POMELOHINGE_SERVERS_CONTROL_CONTROL_ENVIRONMENT_HPP

#include "servers/limits/organisation_owner.hpp"
#include "servers/peers/messages.hpp"
#include "servers/requests/policy.hpp"

#include <functional>
#include <variant>

namespace pomelohinge {

/// How a call to the platform's object service ended.
enum class store_status {
    done,
    /// Another write came first.
    conflict,
    /// No answer, or one that cannot be used. After a write, its effect was
    /// looked for and not found.
    unavailable,
};

template <>
inline constexpr auto name_table<store_status> = make_name_table<store_status>({
    {store_status::done, "done"},
    {store_status::conflict, "conflict"},
    {store_status::unavailable, "unavailable"},
});
static_assert(is_ordered<store_status>());

/// Something that changed in the store.
using store_change = std::variant<journal_entry, data_centre_view>;

/// What changed in the store after a revision.
struct store_changes
{
    store_status status = store_status::unavailable;
    std::uint64_t revision = 0;
    std::vector<store_change> changes;
};

/// What traffic threads handed back after a new policy.
using hand_over_callback = std::function<void(organisation_hand_over)>;

/// What the control plane needs of its surroundings. All callbacks come on
/// the control thread and not before the call returns.
template <class Environment>
concept ControlEnvironment = requires(Environment& environment,
    vm_record const& vm, data_centre_view const& view,
    sync_question const& sync, release_notice const& release,
    floor_question const& floor, reach_question const& reach,
    policy_pointer policy, target_id const& target,
    organisation_hand_over taken, std::string const& address)
{
    {
        environment.now()
        } -> std::same_as<time_point>;
    {
        environment.random()
        } -> std::same_as<std::uint64_t>;
    /// Waits up to a second for changes after a revision; 0 gives all.
    environment.watch_store(
        std::uint64_t{}, std::function<void(store_changes)>());
    /// Replaces the view of the epoch before by a conditional write.
    environment.write_view(view, std::function<void(store_status)>());
    environment.send_sync(address, sync, std::function<void(sync_reply)>());
    environment.send_release(vm, release);
    environment.send_floor(vm, floor, std::function<void(floor_reply)>());
    environment.ask_reach(vm, reach, std::function<void(reach_verdict)>());
    /// Hands a policy to all traffic threads. The first callback comes once
    /// all act by it, the second once no request runs any more at a target
    /// that the policy took away.
    environment.publish(policy, hand_over_callback(), std::function<void()>());
    environment.take_over(std::move(taken));
    environment.set_limit(target, std::size_t{});
    environment.set_lease_end(time_point{});
    environment.probe_upstream(address, std::function<void(bool)>());
};

} // namespace pomelohinge

#endif
