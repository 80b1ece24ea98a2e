#ifndef POMELOHINGE_STAND_INS_PLATFORM_STATE_HPP
#define POMELOHINGE_STAND_INS_PLATFORM_STATE_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelohinge::stand_ins {

/// How the object service misbehaves.
enum class platform_fault {
    none,
    /// Every call is answered with 503.
    absent,
    /// Every call is answered late.
    slow,
    /// Writes take effect and are not answered.
    lossy,
    /// Watches tell nothing new.
    stale,
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
    });
static_assert(is_ordered<stand_ins::platform_fault>());

} // namespace pomelohinge

namespace pomelohinge::stand_ins {

/// The objects of the stand-in for the platform's service.
class platform_state
{
public:
    struct object
    {
        std::uint64_t version = 0;
        std::uint64_t changed_at = 0;
        std::string value;
    };

    /// Writes if the version matches. Returns the new version.
    std::optional<std::uint64_t> put(
        std::string const& name, std::string value, std::uint64_t expected)
    {
        auto const it = objects_.find(name);
        auto const held = it == objects_.end() ? 0 : it->second.version;
        if (held != expected)
            return std::nullopt;
        objects_[name] = {held + 1, ++revision_, std::move(value)};
        return held + 1;
    }

    bool remove(std::string const& name, std::uint64_t expected)
    {
        auto const it = objects_.find(name);
        if (it == objects_.end() || it->second.version != expected)
            return false;
        objects_.erase(it);
        ++revision_;
        return true;
    }

    object const* find(std::string const& name) const
    {
        auto const it = objects_.find(name);
        return it == objects_.end() ? nullptr : &it->second;
    }

    /// Names of objects under `prefix` that changed after `since`.
    std::vector<std::string> changed(
        std::string const& prefix, std::uint64_t since) const
    {
        std::vector<std::string> names;
        for (auto it = objects_.lower_bound(prefix);
             it != objects_.end() && it->first.starts_with(prefix); ++it)
            if (it->second.changed_at > since)
                names.push_back(it->first);
        return names;
    }

    std::uint64_t revision() const { return revision_; }

private:
    std::map<std::string, object> objects_;
    std::uint64_t revision_ = 0;
};

} // namespace pomelohinge::stand_ins

#endif
