#ifndef POMELOHINGE_SERVERS_TARGETS_TARGET_MIRROR_HPP
#define POMELOHINGE_SERVERS_TARGETS_TARGET_MIRROR_HPP

#include "servers/targets/store_era.hpp"
#include "servers/targets/target_catalogue.hpp"

#include <deque>
#include <map>
#include <optional>
#include <tuple>

namespace pomelohinge {

/// Version of a copy of the targets. A watch of the store can miss changes, so
/// two copies of the same revision may differ; the one built from the newer
/// full list is then correct.
struct target_position
{
    std::uint64_t revision = 0;
    /// Revision of the last full list that was applied to the copy.
    std::uint64_t listed = 0;
    /// Hash over all records, independent of their order.
    std::uint64_t digest = 0;
    /// Positions are ordered by era, then revision.
    store_era era;

    bool is_before(target_position const& other) const
    {
        return std::tie(era, revision) < std::tie(other.era, other.revision);
    }

    friend bool operator==(
        target_position const&, target_position const&) = default;
};

/// Changes of the targets up to a store revision.
struct target_changes
{
    std::uint64_t revision = 0;
    /// `put` is the full list: targets that are not in it are removed.
    bool whole = false;
    /// Added and changed targets.
    std::vector<target_record> put;
    std::vector<target_id> removed;
    /// For a full list from another VM: the revision at which the store
    /// returned it. Zero for a list read from the store itself.
    std::uint64_t listed = 0;
    store_era era;
};

/// This VM's copy of the targets in the store. It is built from a full list and
/// the changes after it, and computes the changes that another VM lacks. Lists
/// and changes older than the copy are ignored, so it never reverts. A list of
/// a later era that has not settled undoes nothing: it neither adds nor removes
/// targets, and of the others it only tells that they drain or have restarted.
class target_mirror
{
public:
    /// Applies `changes`. Returns whether the copy changed.
    bool apply(target_changes changes);

    /// The changes that a copy at `position` lacks; empty if there are none.
    std::optional<target_changes> changes_after(
        target_position const& position) const;

    /// Whether `changes_after(position)` is not empty.
    bool has_changes_after(target_position const& position) const;

    std::uint64_t revision() const { return position_.revision; }
    target_position const& position() const { return position_; }

    /// Whether a full list has been applied.
    bool has_list() const { return has_list_; }

    target_catalogue catalogue() const;

    std::size_t size() const { return records_.size(); }

private:
    /// A removed target and the revision of its removal.
    struct tombstone
    {
        std::uint64_t revision = 0;
        target_id id;
    };

    /// Replaces the copy by the list of a later era, or merges both.
    bool begin_era(target_changes list);
    bool put(target_record record);
    /// Applies a record of a list of an era that has not settled.
    bool put_unsettled(target_record record);
    bool remove(target_id const& id, std::uint64_t revision);
    bool remove_unlisted(target_changes const& list);

    /// Whether a copy at `position` has the same revision as this one but
    /// missed changes that this one got from a newer full list.
    bool has_diverged(target_position const& position) const;
    /// Whether the target was removed after `record` was written: the sender
    /// of a list may have missed a removal that is stored here.
    bool was_removed_after(target_record const& record) const;
    std::uint64_t make_digest() const;

    bool has_list_ = false;
    target_position position_;
    std::map<target_id, target_record> records_;
    /// Recent removals, ordered by revision.
    std::deque<tombstone> removals_;
    /// `removals_` is complete from this revision on.
    std::uint64_t removals_complete_since_ = 0;
};

} // namespace pomelohinge

#endif
