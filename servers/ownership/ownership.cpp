#include "servers/ownership/ownership.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

bool contains(std::vector<vm_record const*> const& ranked, vm_id const& vm)
{
    return std::any_of(ranked.begin(), ranked.end(),
        [&](vm_record const* it) { return it->vm == vm; });
}

/// How many times the store's views were written between the two.
std::uint64_t changes_between(fleet_view const& from, fleet_view const& to)
{
    std::uint64_t changes = 0;
    for (auto const& [data_centre, view] : to.data_centres()) {
        auto const* const known = from.find(data_centre);
        changes += view.epoch - (known == nullptr ? 0 : known->epoch);
    }
    return changes;
}

} // namespace

void ownership::adopt(fleet_view const& view, time_point now)
{
    former_view former;
    former.ranks = current_;
    former.left_at = now;
    former.next = view.epochs();
    former.skipped = current_ == nullptr || changes_between(view_, view) > 1;
    former.needed_reads =
        (view_.size() + 1) / 2 + joined_between(view_, view).size();
    auto& stopped = former.released[index_of(released_keys::all_but_targets)];
    for (auto const& [data_centre, it] : view.data_centres())
        for (auto const& record : it.vms)
            if (record.standing == vm_standing::leaving)
                stopped.emplace(record.vm, now);
    // Before the first view, the VMs in it are the ones to ask.
    if (current_ == nullptr)
        former.needed_reads = (view.size() + 1) / 2;
    view_ = view;
    current_ = std::make_shared<rendezvous const>(view);
    former.next_ranks = current_;
    former_.push_back(std::move(former));
}

void ownership::release(vm_id const& former, view_epochs const& epochs,
    released_keys what, time_point now)
{
    for (auto& it : former_)
        if (covers(epochs, it.next))
            it.released[index_of(what)].emplace(former, now);
}

void ownership::expire(time_point now)
{
    std::erase_if(former_, [&](former_view const& it) {
        return it.safe_at <= now && it.left_at + ownership_memory <= now;
    });
}

std::vector<vm_record const*> ownership::owners(owned_key const& key) const
{
    if (!current_)
        return {};
    return current_->rank(key.kind, key.name, key.shares, key.within);
}

bool ownership::is_owner(owned_key const& key) const
{
    return contains(owners(key), self_);
}

bool ownership::stayed_owner(
    former_view const& former, owned_key const& key) const
{
    if (former.skipped)
        return false;
    auto const is_owner_in = [&](rendezvous const& ranks) {
        return contains(
            ranks.rank(key.kind, key.name, key.shares, key.within), self_);
    };
    return is_owner_in(*former.ranks) && is_owner_in(*former.next_ranks);
}

time_point ownership::released_at(
    former_view const& former, owned_key const& key, vm_id const& vm)
{
    auto const what = key.kind == owned_kind::target
        ? released_keys::targets
        : released_keys::all_but_targets;
    auto const& released = former.released[index_of(what)];
    auto const it = released.find(vm);
    return it == released.end() ? time_point::max() : it->second;
}

time_point ownership::stopped_at(
    former_view const& former, owned_key const& key, bool stayed) const
{
    if (former.skipped)
        return former.safe_at;
    if (stayed && stayed_owner(former, key))
        return time_point::min();
    auto const before =
        former.ranks->rank(key.kind, key.name, key.shares, key.within);
    auto const after =
        former.next_ranks->rank(key.kind, key.name, key.shares, key.within);
    auto last = time_point::min();
    for (auto const* it : before)
        if (it->vm != self_ && !contains(after, it->vm))
            last = std::max(last, released_at(former, key, it->vm));
    return std::min(last, former.safe_at);
}

bool ownership::stayed_throughout(owned_key const& key, time_point now) const
{
    return std::all_of(former_.begin(), former_.end(), [&](auto const& it) {
        return it.safe_at <= now || stayed_owner(it, key);
    });
}

bool ownership::may_act(owned_key const& key, time_point now) const
{
    if (!is_owner(key))
        return false;
    bool const stayed = stayed_throughout(key, now);
    return std::all_of(former_.begin(), former_.end(),
        [&](auto const& it) { return stopped_at(it, key, stayed) <= now; });
}

std::vector<vm_record const*> ownership::recent_owners(
    owned_key const& key) const
{
    std::map<vm_id, vm_record const*> found;
    auto const note = [&](rendezvous const& ranks) {
        for (auto const* it :
            ranks.rank(key.kind, key.name, key.shares, key.within))
            if (auto const* const record = view_.find(it->vm))
                found.emplace(record->vm, record);
    };
    for (auto const& it : former_)
        if (it.ranks != nullptr)
            note(*it.ranks);
    if (current_ != nullptr)
        note(*current_);
    std::vector<vm_record const*> others;
    for (auto const& [vm, record] : found)
        if (vm != self_)
            others.push_back(record);
    return others;
}

time_point ownership::owned_since(owned_key const& key, time_point now) const
{
    auto since = now - ownership_memory;
    bool const stayed = stayed_throughout(key, now);
    for (auto const& it : former_)
        if (!stayed || !stayed_owner(it, key))
            since = std::max({since, it.left_at, stopped_at(it, key, stayed)});
    return since;
}

bool ownership::waiting(time_point now) const
{
    return std::any_of(former_.begin(), former_.end(),
        [&](auto const& it) { return it.safe_at > now; });
}

} // namespace pomelohinge
