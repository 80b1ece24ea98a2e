#include "servers/targets/target_mirror.hpp"

#include <algorithm>
#include <set>

namespace pomelohinge {
namespace {

/// Removals that are remembered. Who lacks more gets the whole list.
constexpr std::size_t most_removals = 512;

} // namespace

bool target_mirror::take(target_changes changes)
{
    if (known_ && changes.revision < revision_)
        return false;
    if (!known_ && !changes.whole)
        return false;
    bool changed = !known_;
    if (changes.whole) {
        changed |= remove_unlisted(changes);
        if (!known_)
            removals_since_ = changes.revision;
    }
    for (auto& it : changes.put)
        changed |= put(std::move(it));
    for (auto const& it : changes.removed)
        changed |= remove(it, changes.revision);
    known_ = true;
    revision_ = changes.revision;
    return changed;
}

bool target_mirror::put(target_record record)
{
    auto& held = records_[record.id];
    if (held.revision >= record.revision && held.revision != 0)
        return false;
    held = std::move(record);
    return true;
}

bool target_mirror::remove(target_id const& id, std::uint64_t revision)
{
    if (records_.erase(id) == 0)
        return false;
    removals_.push_back({revision, id});
    if (removals_.size() > most_removals) {
        removals_since_ = removals_.front().revision;
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

std::optional<target_changes> target_mirror::changes_after(
    std::uint64_t revision) const
{
    if (!known_ || revision >= revision_)
        return std::nullopt;
    target_changes changes;
    changes.revision = revision_;
    changes.whole = revision < removals_since_ || revision == 0;
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
    return {std::move(records), revision_};
}

} // namespace pomelohinge
