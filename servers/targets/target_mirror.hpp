#ifndef POMELOHINGE_SERVERS_TARGETS_TARGET_MIRROR_HPP
#define POMELOHINGE_SERVERS_TARGETS_TARGET_MIRROR_HPP

#include "servers/targets/target_catalogue.hpp"

#include <deque>
#include <map>
#include <optional>

namespace pomelohinge {

/// How far a copy of the targets has come. A watch of the store may have told
/// less than all, so that two copies of the same revision can differ; then the
/// one whose last list of all targets is newer is right.
struct target_position
{
    std::uint64_t revision = 0;
    /// Revision of the last list of all targets that is part of it.
    std::uint64_t listed = 0;
    /// Of all records, in no order.
    std::uint64_t digest = 0;

    friend bool operator==(
        target_position const&, target_position const&) = default;
};

/// What changed among the targets, up to a revision of the store.
struct target_changes
{
    std::uint64_t revision = 0;
    /// All targets are listed; the ones that are not are gone.
    bool whole = false;
    std::vector<target_record> put;
    std::vector<target_id> removed;
    /// For a whole list that another VM gives: the revision at which the
    /// store gave it; zero for one from the store itself.
    std::uint64_t listed = 0;
};

/// This VM's copy of the targets in the store. It follows a list and then
/// changes, and can tell another VM what changed since a revision. What it
/// has once learnt it does not unlearn: older lists are not taken.
class target_mirror
{
public:
    /// Takes `changes`. Returns whether anything changed.
    bool take(target_changes changes);

    /// What somebody at `position` lacks; empty if nothing.
    std::optional<target_changes> changes_after(
        target_position const& position) const;

    /// Whether `changes_after` would tell anything.
    bool has_changes_after(target_position const& position) const;

    std::uint64_t revision() const { return position_.revision; }
    target_position const& position() const { return position_; }

    /// Whether a whole list was taken.
    bool known() const { return known_; }

    target_catalogue catalogue() const;

    std::size_t size() const { return records_.size(); }

private:
    struct tombstone
    {
        std::uint64_t revision = 0;
        target_id id;
    };

    bool put(target_record record);
    bool remove(target_id const& id, std::uint64_t revision);
    bool remove_unlisted(target_changes const& list);

    bool is_corrected(target_position const& position) const;
    bool was_removed_after(target_record const& record) const;
    std::uint64_t make_digest() const;

    bool known_ = false;
    target_position position_;
    std::map<target_id, target_record> records_;
    /// Removals by revision, and the revision from which on all are known.
    std::deque<tombstone> removals_;
    std::uint64_t removals_since_ = 0;
};

} // namespace pomelohinge

#endif
