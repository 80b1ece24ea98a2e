#include "servers/selection/target_table.hpp"

namespace pomelohinge {
namespace {

/// A closed target is not tried again for so long.
constexpr duration closed_time = std::chrono::milliseconds(500);

/// A load that was heard this long ago counts half.
constexpr duration half_life = std::chrono::milliseconds(500);

/// A load older than this counts for nothing.
constexpr duration load_memory = std::chrono::seconds(5);

} // namespace

bool is_usable(configuration const& from, target_object const& object)
{
    if (object.wish != target_wish::serving)
        return false;
    auto const* const it =
        from.find<data_centre_object>(object.data_centre.text());
    return it == nullptr || it->state == data_centre_state::serving;
}

target_table::target_table(configuration const& from)
{
    for (auto const& [name, it] : from.table<target_object>()) {
        auto const usable = pomelohinge::is_usable(from, it);
        usable_.emplace(target_id(name), usable);
        if (usable)
            targets_[it.service].push_back({target_id(name), it});
    }
}

std::vector<usable_target> const& target_table::of(
    service_id const& service) const
{
    static std::vector<usable_target> const none;
    auto const it = targets_.find(service);
    return it == targets_.end() ? none : it->second;
}

bool target_table::is_usable(target_id const& target) const
{
    auto const it = usable_.find(target);
    return it != usable_.end() && it->second;
}

void target_hints::heard(target_id const& target, double load, time_point now)
{
    auto& it = hints_[target];
    it.load = load;
    it.heard_at = now;
    it.closed_until = {};
}

void target_hints::closed(target_id const& target, time_point now)
{
    hints_[target].closed_until = now + closed_time;
}

double target_hints::load(target_id const& target, time_point now) const
{
    auto const it = hints_.find(target);
    if (it == hints_.end())
        return 0;
    auto const age = now - it->second.heard_at;
    if (age > load_memory)
        return 0;
    return it->second.load / (1 + to_seconds(age) / to_seconds(half_life));
}

bool target_hints::is_closed(target_id const& target, time_point now) const
{
    auto const it = hints_.find(target);
    return it != hints_.end() && now < it->second.closed_until;
}

} // namespace pomelohinge
