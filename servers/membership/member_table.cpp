#include "servers/membership/member_table.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// How long a VM that a hub has told of counts as alive without a word.
constexpr duration told_patience = std::chrono::seconds(4);

bool differs(fleet_member const& left, fleet_member const& right)
{
    return !(left.record == right.record) || left.alive != right.alive ||
        left.entry != right.entry;
}

} // namespace

member_table::member_table(vm_record self) : self_(self.vm)
{
    set_self(self, 0);
}

member_table::entry& member_table::place(vm_record const& record)
{
    auto const it = places_.find(record.vm);
    if (it != places_.end() && it->second != record.data_centre) {
        entries_.erase({it->second, record.vm});
        places_.erase(it);
    }
    places_[record.vm] = record.data_centre;
    return entries_[{record.data_centre, record.vm}];
}

void member_table::set_self(vm_record const& self, double load)
{
    auto& it = place(self);
    if (!(it.member.record == self) || !it.member.alive)
        ++sequence_;
    it.member.record = self;
    it.member.alive = true;
    it.member.load = load;
    it.expires_at = time_point::max();
}

void member_table::heard(
    vm_record const& record, double load, duration patience, time_point now)
{
    if (record.vm == self_)
        return;
    auto& it = place(record);
    if (!(it.member.record == record) || !it.member.alive)
        ++sequence_;
    it.member.record = record;
    it.member.alive = true;
    it.member.load = load;
    it.heard_at = now;
    it.expires_at = now + patience;
}

void member_table::told(fleet_members const& members, time_point now)
{
    for (auto const& it : members) {
        if (it.record.vm == self_) {
            auto& own = place(it.record).member;
            if (own.entry != it.entry)
                ++sequence_;
            own.entry = it.entry;
            continue;
        }
        auto& held = place(it.record);
        // What the VM said itself is newer than what others heard of it.
        if (held.heard_at != time_point{} && now < held.expires_at)
            continue;
        if (differs(held.member, it))
            ++sequence_;
        held.member = it;
        held.expires_at = it.alive ? now + told_patience : now;
    }
}

void member_table::listed(std::vector<vm_record> const& records, time_point now)
{
    for (auto const& record : records) {
        if (record.vm == self_ || places_.contains(record.vm))
            continue;
        auto& it = place(record);
        it.member.record = record;
        it.expires_at = now;
        ++sequence_;
    }
}

bool member_table::set_entries(
    data_centre_id const& data_centre, std::set<vm_id> const& entries)
{
    bool changed = false;
    for (auto& [key, it] : entries_) {
        if (key.first != data_centre)
            continue;
        bool const entry = entries.contains(key.second);
        changed |= it.member.entry != entry;
        it.member.entry = entry;
    }
    if (changed)
        ++sequence_;
    return changed;
}

bool member_table::expire(time_point now)
{
    bool changed = false;
    for (auto& [key, it] : entries_) {
        if (!it.member.alive || key.second == self_ || now < it.expires_at)
            continue;
        it.member.alive = false;
        changed = true;
    }
    if (changed)
        ++sequence_;
    return changed;
}

void member_table::forget(vm_id const& vm)
{
    auto const it = places_.find(vm);
    if (it == places_.end() || vm == self_)
        return;
    entries_.erase({it->second, vm});
    places_.erase(it);
    ++sequence_;
}

std::vector<vm_record> member_table::silent_for(
    duration span, time_point now) const
{
    std::vector<vm_record> silent;
    for (auto const& [key, it] : entries_)
        if (key.second != self_ && !it.member.alive &&
            now - std::max(it.heard_at, it.expires_at) > span)
            silent.push_back(it.member.record);
    return silent;
}

fleet_members member_table::members() const
{
    fleet_members all;
    all.reserve(entries_.size());
    for (auto const& [key, it] : entries_)
        all.push_back(it.member);
    return all;
}

fleet_member const* member_table::find(vm_id const& vm) const
{
    auto const place = places_.find(vm);
    if (place == places_.end())
        return nullptr;
    return &entries_.find({place->second, vm})->second.member;
}

} // namespace pomelohinge
