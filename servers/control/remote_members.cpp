#include "servers/control/remote_members.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace pomelohinge {
namespace {

bool is_same(fleet_member const& left, fleet_member const& right)
{
    // The load changes all the time, and no hub needs that of another data
    // centre.
    return left.record == right.record && left.alive == right.alive &&
        left.entry == right.entry;
}

std::uint64_t digest_of(fleet_members const& members)
{
    std::uint64_t digest = 0;
    for (auto const& it : members) {
        auto const& record = it.record;
        auto const text = fmt::format("{} {} {} {} {} {} {} {} {}",
            record.vm.text(), record.peers_address, record.callers_address,
            record.incarnation, index_of(record.standing), record.cores,
            record.link_mbps, it.alive, it.entry);
        digest = XXH64(text.data(), text.size(), digest);
    }
    // 0 is the position of a hub that holds no list.
    return std::max<std::uint64_t>(digest, 1);
}

fleet_member const* find(fleet_members const& members, vm_id const& vm)
{
    auto const it = std::find_if(members.begin(), members.end(),
        [&](auto const& member) { return member.record.vm == vm; });
    return it == members.end() ? nullptr : &*it;
}

/// The members that are not the same in `before`. Empty if one of those is
/// missing now, which only a full list can tell.
std::optional<fleet_members> changes_since(
    fleet_members const& before, fleet_members const& now)
{
    bool const is_any_missing = std::any_of(before.begin(), before.end(),
        [&](auto const& it) { return find(now, it.record.vm) == nullptr; });
    if (is_any_missing)
        return std::nullopt;
    fleet_members changes;
    for (auto const& it : now) {
        auto const* const earlier = find(before, it.record.vm);
        if (earlier == nullptr || !is_same(*earlier, it))
            changes.push_back(it);
    }
    return changes;
}

} // namespace

void remote_members::update(
    member_table const& members, data_centre_id const& data_centre)
{
    if (sequence_ == members.sequence())
        return;
    sequence_ = members.sequence();
    fleet_members own = members.members();
    std::erase_if(own,
        [&](auto const& it) { return it.record.data_centre != data_centre; });
    current_.digest = digest_of(own);
    current_.members = std::make_shared<fleet_members>(std::move(own));
}

std::size_t remote_members::write(sync_question const& question,
    member_table const& members, data_centre_id const& data_centre,
    sync_reply& reply)
{
    update(members, data_centre);
    reply.members_sequence = current_.digest;
    auto& sent = sent_[question.from.data_centre];
    bool const holds_list = question.members_source == reply.members_source;
    if (holds_list && question.members_sequence == current_.digest) {
        sent = current_;
        return 0;
    }
    bool const is_known =
        sent.members != nullptr && question.members_sequence == sent.digest;
    if (holds_list && is_known)
        reply.members = changes_since(*sent.members, *current_.members);
    reply.members_are_changes = reply.members.has_value();
    if (!reply.members) {
        reply.members = *current_.members;
        sent = current_;
    }
    return reply.members->size();
}

} // namespace pomelohinge
