#ifndef POMELOHINGE_STAND_INS_PLATFORM_STATE_HPP
#define POMELOHINGE_STAND_INS_PLATFORM_STATE_HPP

#include "core/name_table.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge::stand_ins {

/// A fault injected into the object service.
enum class platform_fault {
    none,
    /// Every call is answered with status 503.
    absent,
    /// Every answer is delayed.
    slow,
    /// Writes take effect but get no answer.
    lossy,
    /// Watches report no changes.
    stale,
    /// Writes take effect seconds later and get no answer.
    late,
};

} // namespace pomelohinge::stand_ins

namespace pomelohinge {

template <>
inline constexpr auto name_table<stand_ins::platform_fault> =
    make_name_table<stand_ins::platform_fault>({
        {stand_ins::platform_fault::none, "none"},
        {stand_ins::platform_fault::absent, "absent"},
        {stand_ins::platform_fault::slow, "slow"},
        {stand_ins::platform_fault::lossy, "lossy"},
        {stand_ins::platform_fault::stale, "stale"},
        {stand_ins::platform_fault::late, "late"},
    });
static_assert(is_ordered<stand_ins::platform_fault>());

} // namespace pomelohinge

namespace pomelohinge::stand_ins {

/// The objects of the object service and their revision, which each write and
/// each removal increments.
class platform_state
{
public:
    struct object
    {
        /// Revision of the last write.
        std::uint64_t version = 0;
        std::string value;
    };

    /// Writes the object if its version is `expected`, which is 0 for a new
    /// object. Returns the new version, or nothing if the versions differ.
    std::optional<std::uint64_t> put(
        std::string const& name, std::string value, std::uint64_t expected)
    {
        auto const it = objects_.find(name);
        auto const current = it == objects_.end() ? 0 : it->second.version;
        if (current != expected)
            return std::nullopt;
        record_write(name);
        objects_[name] = {++revision_, std::move(value)};
        return revision_;
    }

    /// Removes the object if its version is `expected`. Returns whether it was
    /// removed.
    bool remove(std::string const& name, std::uint64_t expected)
    {
        auto const it = objects_.find(name);
        if (it == objects_.end() || it->second.version != expected)
            return false;
        record_write(name);
        objects_.erase(it);
        ++revision_;
        return true;
    }

    /// Returns the object, or null if there is none of this name.
    object const* find(std::string const& name) const
    {
        auto const it = objects_.find(name);
        return it == objects_.end() ? nullptr : &it->second;
    }

    /// Returns the names of existing objects under `prefix` that were written
    /// after the revision `since`. Removed objects are not listed.
    std::vector<std::string> changed_since(
        std::string const& prefix, std::uint64_t since) const
    {
        std::vector<std::string> names;
        for (auto it = objects_.lower_bound(prefix);
             it != objects_.end() && it->first.starts_with(prefix); ++it)
            if (it->second.version > since)
                names.push_back(it->first);
        return names;
    }

    std::uint64_t revision() const { return revision_; }

    /// Takes back all writes since `time`, as a restore from a copy of that age
    /// does. The revision goes back and is used again.
    void restore(std::chrono::steady_clock::time_point time)
    {
        while (!writes_.empty() && writes_.back().at >= time) {
            auto& it = writes_.back();
            if (it.previous)
                objects_[it.name] = std::move(*it.previous);
            else
                objects_.erase(it.name);
            revision_ = it.revision;
            writes_.pop_back();
        }
    }

private:
    /// What a write has replaced.
    struct past_write
    {
        std::chrono::steady_clock::time_point at;
        std::string name;
        std::optional<object> previous;
        std::uint64_t revision = 0;
    };

    /// Age up to which writes can be taken back.
    static constexpr std::chrono::seconds max_write_age{60};

    void record_write(std::string const& name)
    {
        auto const now = std::chrono::steady_clock::now();
        while (!writes_.empty() && now - writes_.front().at > max_write_age)
            writes_.pop_front();
        auto const it = objects_.find(name);
        writes_.push_back({now, name,
            it == objects_.end() ? std::nullopt : std::optional(it->second),
            revision_});
    }

    std::map<std::string, object> objects_;
    std::uint64_t revision_ = 0;
    std::deque<past_write> writes_;
};

} // namespace pomelohinge::stand_ins

#endif
