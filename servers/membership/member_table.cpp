#include "servers/membership/member_table.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {
namespace {

/// How long a VM in a hub's member list counts as alive without an update.
constexpr duration hub_member_timeout = std::chrono::seconds(4);

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

void member_table::mark_changed()
{
    ++sequence_;
    is_list_current_ = false;
}

member_table::member_state& member_table::find_or_create(
    vm_record const& record)
{
    auto const it = data_centres_.find(record.vm);
    if (it != data_centres_.end() && it->second != record.data_centre) {
        members_.erase({it->second, record.vm});
        data_centres_.erase(it);
    }
    data_centres_[record.vm] = record.data_centre;
    return members_[{record.data_centre, record.vm}];
}

void member_table::set_self(vm_record const& self, double load)
{
    auto& it = find_or_create(self);
    if (!(it.member.record == self) || !it.member.alive)
        mark_changed();
    it.member.record = self;
    it.member.alive = true;
    it.member.load = load;
    is_list_current_ = false;
    it.expires_at = time_point::max();
}

void member_table::update_from_vm(vm_record const& record, double load,
    duration liveness_timeout, time_point now)
{
    if (record.vm == self_)
        return;
    auto& it = find_or_create(record);
    if (!(it.member.record == record) || !it.member.alive)
        mark_changed();
    it.member.record = record;
    it.member.alive = true;
    it.member.load = load;
    is_list_current_ = false;
    it.reported_at = now;
    it.expires_at = now + liveness_timeout;
}

void member_table::update_from_hub(fleet_members const& members, time_point now)
{
    for (auto const& it : members) {
        if (it.record.vm == self_) {
            auto& own = members_[{data_centres_[self_], self_}].member;
            if (own.entry != it.entry)
                mark_changed();
            own.entry = it.entry;
            continue;
        }
        auto& existing = find_or_create(it.record);
        existing.listed_alive = it.alive;
        existing.listed_at = now;
        // A report received from the VM itself is newer than the hub's copy,
        // but only its hub knows whether it is an entry.
        if (existing.reported_at != time_point{} && now < existing.expires_at) {
            if (std::exchange(existing.member.entry, it.entry) != it.entry)
                mark_changed();
            continue;
        }
        if (differs(existing.member, it))
            mark_changed();
        existing.member = it;
        is_list_current_ = false;
        existing.expires_at = it.alive ? now + hub_member_timeout : now;
    }
}

void member_table::confirm_listed(
    std::optional<data_centre_id> const& data_centre, time_point now)
{
    for (auto& [key, it] : members_) {
        bool const is_covered = !data_centre || key.first == *data_centre;
        if (!is_covered || !it.listed_alive || key.second == self_)
            continue;
        it.listed_at = now;
        // As in `update_from_hub`.
        if (it.reported_at != time_point{} && now < it.expires_at)
            continue;
        if (!it.member.alive)
            mark_changed();
        it.member.alive = true;
        it.expires_at = now + hub_member_timeout;
    }
}

void member_table::add_listed(
    std::vector<vm_record> const& records, time_point now)
{
    for (auto const& record : records) {
        if (record.vm == self_ || data_centres_.contains(record.vm))
            continue;
        auto& it = find_or_create(record);
        it.member.record = record;
        it.expires_at = now;
        mark_changed();
    }
}

bool member_table::set_entries(
    data_centre_id const& data_centre, std::set<vm_id> const& entries)
{
    bool changed = false;
    for (auto& [key, it] : members_) {
        if (key.first != data_centre)
            continue;
        bool const is_entry = entries.contains(key.second);
        changed |= it.member.entry != is_entry;
        it.member.entry = is_entry;
    }
    if (changed)
        mark_changed();
    return changed;
}

void member_table::postpone_expiry(duration pause)
{
    for (auto& [key, it] : members_) {
        if (!it.member.alive || key.second == self_)
            continue;
        it.expires_at += pause;
        it.listed_at += pause;
    }
}

bool member_table::expire(time_point now)
{
    bool changed = false;
    for (auto& [key, it] : members_) {
        if (!it.member.alive || key.second == self_ || now < it.expires_at)
            continue;
        // A hub has heard of it since its last question to this VM.
        if (it.listed_alive && it.listed_at > it.reported_at)
            it.expires_at = it.listed_at + hub_member_timeout;
        if (now < it.expires_at)
            continue;
        it.member.alive = false;
        changed = true;
    }
    if (changed)
        mark_changed();
    return changed;
}

void member_table::set_unreachable(vm_id const& vm, time_point now)
{
    auto const found = data_centres_.find(vm);
    if (found == data_centres_.end() || vm == self_)
        return;
    auto& it = members_.at({found->second, vm});
    bool const is_heard = it.reported_at != time_point{} &&
        it.reported_at >= it.listed_at && now < it.expires_at;
    if (!it.member.alive || is_heard)
        return;
    it.member.alive = it.listed_alive = false;
    it.expires_at = now;
    mark_changed();
}

void member_table::remove(vm_id const& vm)
{
    auto const it = data_centres_.find(vm);
    if (it == data_centres_.end() || vm == self_)
        return;
    members_.erase({it->second, vm});
    data_centres_.erase(it);
    mark_changed();
}

std::vector<vm_record> member_table::unreachable_for(
    duration time, time_point now) const
{
    std::vector<vm_record> unreachable;
    for (auto const& [key, it] : members_)
        if (key.second != self_ && !it.member.alive &&
            now - std::max(it.reported_at, it.expires_at) > time)
            unreachable.push_back(it.member.record);
    return unreachable;
}

fleet_members const& member_table::members() const
{
    if (std::exchange(is_list_current_, true))
        return listed_;
    listed_.clear();
    for (auto const& [key, it] : members_)
        listed_.push_back(it.member);
    return listed_;
}

fleet_member const* member_table::find(vm_id const& vm) const
{
    auto const it = data_centres_.find(vm);
    if (it == data_centres_.end())
        return nullptr;
    return &members_.find({it->second, vm})->second.member;
}

} // namespace pomelohinge
