#ifndef POMELOHINGE_SERVERS_CONTROL_STORE_TURNS_HPP
#define POMELOHINGE_SERVERS_CONTROL_STORE_TURNS_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"
#include "servers/membership/hub_order.hpp"

namespace pomelohinge {

/// Result of the reads of the store since this VM last began to read it.
enum class read_outcome {
    /// No read has been answered.
    pending,
    succeeded,
    failed,
};

template <>
inline constexpr auto name_table<read_outcome> = make_name_table<read_outcome>({
    {read_outcome::pending, "pending"},
    {read_outcome::succeeded, "succeeded"},
    {read_outcome::failed, "failed"},
});
static_assert(is_ordered<read_outcome>());

/// The place of a VM among those of its data centre that take turns in reading
/// the store.
struct turn_place
{
    std::size_t rank = 0;
    std::size_t vms = 1;
    std::size_t data_centres = 1;
};

/// The VMs of the data centre of `self`, except those that are known not to
/// serve. Without a hub, nobody tells which ones are alive.
fleet_members find_neighbours(
    fleet_members const& members, vm_record const& self, bool has_hub);

/// The place of `self` among `members`, which include it. The likely hubs come
/// last, since they read the store as hubs; the others are ordered by a hash of
/// their names, so that all VMs compute the same order without communication.
turn_place find_turn_place(fleet_members const& members, vm_record const& self,
    std::size_t data_centres);

/// Decides when a VM without recent data of a hub tries to read the store
/// itself. The VMs of a data centre take turns, so that the calls to a store
/// that does not answer do not grow with their number. A VM that hears from no
/// other VM does not wait for its turn.
class store_turns
{
public:
    /// Records that another VM has replied or sent a question.
    void note_contact(time_point now) { contact_at_ = now; }

    /// Whether another VM has been heard of recently.
    bool has_contact(time_point now) const;

    /// Records the outcome of the reads of this VM. Returns whether it has its
    /// turn and has reached the store.
    bool note_outcome(read_outcome outcome, time_point now);

    /// Ends the need to read: a hub has sent recent data.
    void end();

    /// Whether to read the store now, as no hub has sent recent data.
    bool must_read(
        turn_place const& place, read_outcome outcome, time_point now);

private:
    /// When the VM found that it needs to read; zero while it does not.
    time_point began_at_{};
    time_point next_turn_{};
    bool has_turn_ = false;
    time_point contact_at_{};
    /// When a read of the latest turn was last known to succeed.
    time_point succeeded_at_{};
};

} // namespace pomelohinge

#endif
