#ifndef POMELOHINGE_SERVERS_TARGETS_TARGET_MIRROR_HPP
#define POMELOHINGE_SERVERS_TARGETS_TARGET_MIRROR_HPP

#include "servers/targets/target_catalogue.hpp"

#include <deque>
#include <map>
#include <optional>

namespace pomelohinge {

/// What changed among the targets, up to a revision of the store.
struct target_changes
{
    std::uint64_t revision = 0;
    /// All targets are listed; the ones that are not are gone.
    bool whole = false;
    std::vector<target_record> put;
    std::vector<target_id> removed;
};

/// This VM's copy of the targets in the store. It follows a list and then
/// changes, and can tell another VM what changed since a revision. What it
/// has once learnt it does not unlearn: older lists are not taken.
class target_mirror
{
public:
    /// Takes `changes`. Returns whether anything changed.
    bool take(target_changes changes);

    /// What somebody at `revision` lacks; empty if nothing.
    std::optional<target_changes> changes_after(std::uint64_t revision) const;

    std::uint64_t revision() const { return revision_; }

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

    bool known_ = false;
    std::uint64_t revision_ = 0;
    std::map<target_id, target_record> records_;
    /// Removals by revision, and the revision from which on all are known.
    std::deque<tombstone> removals_;
    std::uint64_t removals_since_ = 0;
};

} // namespace pomelohinge

#endif
