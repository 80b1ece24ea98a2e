#ifndef POMELOHINGE_SERVERS_OWNERSHIP_OWNERSHIP_HPP
#define POMELOHINGE_SERVERS_OWNERSHIP_OWNERSHIP_HPP

#include "core/clock.hpp"
#include "servers/ownership/rendezvous.hpp"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string_view>

namespace pomelohinge {

/// How long a VM acts as owner after its last proof that its view is
/// current.
inline constexpr duration freshness_lease = std::chrono::seconds(3);

/// Added to the lease before a new owner acts; covers clock drift between
/// VMs and the time between a check and its act.
inline constexpr duration takeover_margin = std::chrono::milliseconds(500);

/// How long former views are remembered to tell since when a key is owned.
inline constexpr duration ownership_memory = std::chrono::seconds(60);

/// What a former owner has stopped acting for. Requests at upstreams end
/// later than what needs no upstream.
enum class released_keys { all_but_targets, targets };

template <>
inline constexpr auto
    name_table<released_keys> = make_name_table<released_keys>({
        {released_keys::all_but_targets, "all_but_targets"},
        {released_keys::targets, "targets"},
    });
static_assert(is_ordered<released_keys>());

/// A key as it is ranked.
struct owned_key
{
    owned_kind kind;
    std::string_view name;
    /// The data centre to rank in, or null for the whole fleet.
    data_centre_id const* within = nullptr;
    /// Ranks that share the ownership.
    std::size_t shares = 1;
};

/// Which keys this VM owns, and from when on it may act for each. A former
/// owner that has not said that it stopped may act until its lease ends, so
/// a new owner waits for that. Copies are cheap and immutable on traffic
/// threads; only the control thread adopts views.
class ownership
{
public:
    explicit ownership(vm_id self) : self_(std::move(self)) {}

    /// Goes on with `view`, learned at `now`. Former owners that the view
    /// shows as leaving stopped before they wrote it. Before the first view,
    /// and where views in between were missed, anybody may have owned
    /// anything, so all keys wait for a full lease.
    void adopt(fleet_view const& view, time_point now);

    /// Notes at `now` that `former` acts by the view of `epochs` or a later
    /// one, and so has stopped acting for all of `what` that it lost up to
    /// it.
    void release(vm_id const& former, view_epochs const& epochs,
        released_keys what, time_point now);

    /// Looks whether enough VMs of each former view have read the store
    /// since it was left. Until then a former owner may rest on a majority
    /// that does not know of the change, and gained keys wait; from then on
    /// its lease runs out. `read_age_of(count)` is the age within which that
    /// many VMs have read the store.
    /// Returns whether a waiting time was set.
    template <class ReadAgeOf>
    bool confirm(ReadAgeOf&& read_age_of, time_point now)
    {
        bool confirmed = false;
        for (auto& it : former_) {
            if (it.safe_at != unconfirmed)
                continue;
            auto const age = read_age_of(it.needed_reads);
            if (age == duration::max() || now - age < it.left_at)
                continue;
            it.safe_at = now + freshness_lease + takeover_margin;
            confirmed = true;
        }
        return confirmed;
    }

    /// Forgets former views that matter no more.
    void expire(time_point now);

    /// The owners of `key`, best first; empty if no VM serves.
    std::vector<vm_record const*> owners(owned_key const& key) const;

    /// Whether this VM is among the owners.
    bool is_owner(owned_key const& key) const;

    /// Whether this VM is an owner and no former owner can still act. The
    /// freshness lease is checked apart, next to the act.
    bool may_act(owned_key const& key, time_point now) const;

    /// Other VMs of the view that own `key` or did lately, by name.
    std::vector<vm_record const*> recent_owners(owned_key const& key) const;

    /// Since when this VM has been an owner that may act, as far back as is
    /// remembered. Only for keys for which it may act.
    time_point owned_since(owned_key const& key, time_point now) const;

    vm_id const& self() const { return self_; }
    /// Whether some gained keys may still have to wait.
    bool waiting(time_point now) const;
    /// Null before the first view.
    rendezvous const* current() const { return current_.get(); }

private:
    static constexpr time_point unconfirmed = time_point::max();

    /// A view that was left, and when the leases held under it have ended.
    struct former_view
    {
        /// Null for the time before the first view.
        std::shared_ptr<rendezvous const> ranks;
        std::shared_ptr<rendezvous const> next_ranks;
        time_point left_at;
        /// Epochs of the view that came after it.
        view_epochs next;
        /// VMs that must have read the store since: half of the view's, not
        /// counting those that have joined after it.
        std::size_t needed_reads = 0;
        time_point safe_at = unconfirmed;
        /// Views between this one and the next are not known.
        bool skipped = false;
        /// When VMs stopped acting for what they lost.
        std::array<std::map<vm_id, time_point>, enum_count<released_keys>>
            released;
    };

    /// Whether this VM was an owner before and after the change.
    bool stayed_owner(former_view const& former, owned_key const& key) const;

    /// Whether this VM was an owner through all changes that are not settled.
    /// Views of different data centres may be learned in another order by
    /// another VM, so a share that was gained lately may be the one that
    /// somebody else has lost with a later change, and both have to stop.
    bool stayed_throughout(owned_key const& key, time_point now) const;

    /// When the other owners that lost `key` with the change had all stopped;
    /// the latest time if they may not have. The earliest if this VM `stayed`
    /// an owner throughout and its share was not touched.
    time_point stopped_at(
        former_view const& former, owned_key const& key, bool stayed) const;

    /// When `vm` stopped acting for `key`, by its own word.
    static time_point released_at(
        former_view const& former, owned_key const& key, vm_id const& vm);

    vm_id self_;
    fleet_view view_;
    /// Views are immutable and shared with the traffic threads' copies.
    std::shared_ptr<rendezvous const> current_;
    std::deque<former_view> former_;
};

} // namespace pomelohinge

#endif
