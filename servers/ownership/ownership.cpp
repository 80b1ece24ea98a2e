#include "servers/ownership/ownership.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

bool contains(std::vector<vm_record const*> const& ranked, vm_id const& vm)
{
    return std::any_of(ranked.begin(), ranked.end(),
        [&](vm_record const* it) { return it->vm == vm; });
}

} // namespace

void ownership::adopt(fleet_view const& view, time_point now)
{
    former_view former;
    former.ranks = current_;
    former.left_at = now;
    former.next = view.epochs();
    former.needed_reads = (view_.size() + 1) / 2;
    for (auto const& it : view.vms()) {
        if (it.standing == vm_standing::leaving)
            former.released.insert(it.vm);
        auto const* const known = view_.find(it.vm);
        if (known == nullptr || known->incarnation != it.incarnation)
            ++former.needed_reads;
    }
    // Before the first view, the VMs in it are the ones to ask.
    if (current_ == nullptr)
        former.needed_reads = (view.size() + 1) / 2;
    view_ = view;
    former_.push_back(std::move(former));
    current_ = std::make_shared<rendezvous const>(view);
}

void ownership::release(vm_id const& former, view_epochs const& epochs)
{
    for (auto& it : former_)
        if (covers(epochs, it.next))
            it.released.insert(former);
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

bool ownership::was_owner(former_view const& former, owned_key const& key) const
{
    return former.ranks != nullptr &&
        contains(former.ranks->rank(key.kind, key.name, key.shares, key.within),
            self_);
}

bool ownership::has_stopped(
    former_view const& former, owned_key const& key) const
{
    if (former.ranks == nullptr)
        return false;
    auto const before =
        former.ranks->rank(key.kind, key.name, key.shares, key.within);
    if (contains(before, self_))
        return true;
    auto const after = owners(key);
    return std::all_of(before.begin(), before.end(), [&](auto const* it) {
        return contains(after, it->vm) || former.released.contains(it->vm);
    });
}

bool ownership::may_act(owned_key const& key, time_point now) const
{
    if (!is_owner(key))
        return false;
    return std::all_of(former_.begin(), former_.end(), [&](auto const& it) {
        return it.safe_at <= now || has_stopped(it, key);
    });
}

time_point ownership::owned_since(owned_key const& key, time_point now) const
{
    auto since = now - ownership_memory;
    for (auto const& it : former_)
        if (!was_owner(it, key))
            since = std::max(since, std::min(it.safe_at, now));
    return since;
}

bool ownership::waiting(time_point now) const
{
    return std::any_of(former_.begin(), former_.end(),
        [&](auto const& it) { return it.safe_at > now; });
}

} // namespace pomelohinge
