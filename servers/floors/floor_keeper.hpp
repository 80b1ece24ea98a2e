#ifndef POMELOHINGE_SERVERS_FLOORS_FLOOR_KEEPER_HPP
#define POMELOHINGE_SERVERS_FLOORS_FLOOR_KEEPER_HPP

#include "config/objects.hpp"
#include "core/clock.hpp"
#include "core/identifiers.hpp"

#include <absl/container/btree_map.h>
#include <cstdint>
#include <vector>

namespace pomelohinge {

/// How often owners of targets report to the owner of their service; a
/// change of capacity is reported at once.
inline constexpr duration floor_report_period = std::chrono::seconds(4);

/// What a target's owner reports to the owner of the service.
struct capacity_report
{
    target_id target;
    /// Slots of the target.
    std::int64_t slots = 0;
    /// Requests that it may run at a time now; 0 while it is ejected.
    std::int64_t capacity = 0;
    bool ejected = false;
};

/// What the owner of a service answers when asked for an ejection.
enum class floor_verdict {
    granted,
    /// The healthy rest would fall below the floor.
    below_floor,
    /// Not every target has been reported since this VM became owner.
    not_known,
};

template <>
inline constexpr auto
    name_table<floor_verdict> = make_name_table<floor_verdict>({
        {floor_verdict::granted, "granted"},
        {floor_verdict::below_floor, "below_floor"},
        {floor_verdict::not_known, "not_known"},
    });
static_assert(is_ordered<floor_verdict>());

/// Grants the ejections of one service, never below its floor. It lives on
/// the control thread of the service's owner; since there is one, owners of
/// targets that decide at the same moment cannot eject too many together.
class floor_keeper
{
public:
    explicit floor_keeper(floor_object const& floor) : floor_(floor) {}

    /// Sets the floor and the targets that are capacity: neither leaving nor
    /// in a data centre that is out.
    void configure(floor_object const& floor,
        std::vector<std::pair<target_id, std::int64_t>> const& targets);

    /// Takes the report of a target's owner.
    void report(capacity_report const& report, time_point now);

    /// Decides on an ejection. A granted one counts at once.
    floor_verdict ask(target_id const& target, time_point now);

    /// The ejection of `target` is over.
    void give_back(target_id const& target);

    /// Healthy capacity now, in requests at a time.
    std::int64_t healthy_capacity() const;

    /// The capacity that ejection must leave.
    std::int64_t floor_capacity() const;

private:
    struct known_target
    {
        std::int64_t slots = 0;
        std::int64_t capacity = 0;
        bool ejected = false;
        bool reported = false;
        time_point reported_at{};
        time_point granted_at{};
    };

    bool all_reported(time_point now) const;

    floor_object floor_;
    absl::btree_map<target_id, known_target> targets_;
};

} // namespace pomelohinge

#endif
