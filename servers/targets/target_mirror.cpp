#include "servers/targets/target_mirror.hpp"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace pomelohinge {
namespace {

/// Limit on the stored removals. A copy that lacks more of them gets the full
/// list.
constexpr std::size_t max_removals = 512;

} // namespace

bool target_mirror::apply(target_changes changes)
{
    if (!has_list_ || position_.era < changes.era)
        return changes.whole && begin_era(std::move(changes));
    if (changes.era < position_.era || changes.revision < position_.revision)
        return false;
    bool const is_settled = position_.era.is_settled;
    auto const listed = changes.listed == 0 ? changes.revision : changes.listed;
    bool changed = false;
    if (changes.whole && listed >= position_.listed) {
        changed |= is_settled && remove_unlisted(changes);
        position_.listed = listed;
    }
    for (auto& it : changes.put)
        changed |= changes.whole && !is_settled ? put_unsettled(std::move(it))
                                                : put(std::move(it));
    for (auto const& it : changes.removed)
        changed |= remove(it, changes.revision);
    position_.revision = changes.revision;
    if (changed)
        position_.digest = make_digest();
    return changed;
}

bool target_mirror::begin_era(target_changes list)
{
    bool const undoes_nothing = has_list_ && !list.era.is_settled;
    if (undoes_nothing)
        // Any change in the new era is newer.
        for (auto& [id, it] : records_)
            it.revision = 0;
    else
        records_.clear();
    removals_.clear();
    removals_complete_since_ = list.revision;
    for (auto& it : list.put)
        if (undoes_nothing)
            put_unsettled(std::move(it));
        else
            put(std::move(it));
    has_list_ = true;
    position_.era = list.era;
    position_.revision = list.revision;
    position_.listed = list.listed == 0 ? list.revision : list.listed;
    position_.digest = make_digest();
    return true;
}

bool target_mirror::put_unsettled(target_record record)
{
    auto const existing = records_.find(record.id);
    if (existing == records_.end())
        return false;
    auto const& held = existing->second;
    bool const was_written_in_era = held.revision > 0;
    bool const begins_drain = record.standing == target_standing::draining &&
        held.standing != target_standing::draining &&
        record.incarnation >= held.incarnation;
    bool const is_newer = begins_drain ||
        record.incarnation > held.incarnation ||
        (was_written_in_era && record.revision > held.revision);
    if (is_newer)
        existing->second = std::move(record);
    return is_newer;
}

bool target_mirror::was_removed_after(target_record const& record) const
{
    return std::any_of(
        removals_.begin(), removals_.end(), [&](tombstone const& it) {
            return it.id == record.id && it.revision > record.revision;
        });
}

bool target_mirror::put(target_record record)
{
    auto const existing = records_.find(record.id);
    if (existing == records_.end()) {
        if (was_removed_after(record))
            return false;
        auto const id = record.id;
        records_.emplace(id, std::move(record));
        return true;
    }
    if (existing->second.revision >= record.revision)
        return false;
    existing->second = std::move(record);
    return true;
}

std::uint64_t target_mirror::make_digest() const
{
    std::uint64_t digest = 0;
    for (auto const& [id, it] : records_) {
        auto const& text = id.text();
        digest += XXH64(text.data(), text.size(), it.revision);
    }
    return digest;
}

bool target_mirror::remove(target_id const& id, std::uint64_t revision)
{
    if (records_.erase(id) == 0)
        return false;
    removals_.push_back({revision, id});
    if (removals_.size() > max_removals) {
        removals_complete_since_ = removals_.front().revision;
        removals_.pop_front();
    }
    return true;
}

bool target_mirror::remove_unlisted(target_changes const& list)
{
    std::set<target_id> listed;
    for (auto const& it : list.put)
        listed.insert(it.id);
    std::vector<target_id> missing;
    for (auto const& [id, it] : records_)
        if (!listed.contains(id))
            missing.push_back(id);
    for (auto const& it : missing)
        remove(it, list.revision);
    return !missing.empty();
}

bool target_mirror::has_diverged(target_position const& position) const
{
    return position.era == position_.era &&
        position.revision == position_.revision &&
        position.listed < position_.listed &&
        position.digest != position_.digest;
}

bool target_mirror::has_changes_after(target_position const& position) const
{
    return has_list_ &&
        (position.is_before(position_) || has_diverged(position));
}

std::optional<target_changes> target_mirror::changes_after(
    target_position const& position) const
{
    if (!has_changes_after(position))
        return std::nullopt;
    auto const revision = position.revision;
    target_changes changes;
    changes.revision = position_.revision;
    changes.listed = position_.listed;
    changes.era = position_.era;
    changes.whole = position.era < position_.era ||
        revision < removals_complete_since_ || revision == 0 ||
        has_diverged(position);
    for (auto const& [id, it] : records_)
        if (changes.whole || it.revision > revision)
            changes.put.push_back(it);
    if (!changes.whole)
        for (auto const& it : removals_)
            if (it.revision > revision && !records_.contains(it.id))
                changes.removed.push_back(it.id);
    return changes;
}

target_catalogue target_mirror::catalogue() const
{
    std::vector<target_record> records;
    records.reserve(records_.size());
    for (auto const& [id, it] : records_)
        records.push_back(it);
    return {std::move(records), position_.revision};
}

} // namespace pomelohinge
