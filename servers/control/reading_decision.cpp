#include "servers/control/reading_decision.hpp"

#include <algorithm>

namespace pomelohinge {
namespace {

/// A VM that starts to read the store for others continues for at least this
/// long.
constexpr duration min_reading_period = std::chrono::milliseconds(3000);
/// A VM without a configuration or targets reads the store itself if no hub
/// has answered for this long.
constexpr duration initial_hub_timeout = std::chrono::milliseconds(400);
/// A VM whose hubs have sent no data of a more recent read than this reads the
/// store itself. Other hubs need up to `max_fresh_read_age` and a tick to
/// replace one that fails, and a change is due everywhere after 2 s.
constexpr duration max_hub_read_age = std::chrono::milliseconds(1650);

} // namespace

void reading_decision::note_reply(
    sync_reply const& reply, std::uint64_t version, time_point replied_at)
{
    if (!reply.reached)
        return;
    hubs_reach_store_ = reply.store_reached;
    // A hub with an older version than this VM's has not read it yet.
    bool const is_known = reply.read_age != duration::max() &&
        reply.configuration.version >= version;
    if (is_known)
        hubs_read_at_ = std::max(hubs_read_at_, replied_at - reply.read_age);
}

bool reading_decision::must_read(reading_conditions const& it, time_point now)
{
    if (hub_contact_at_ == time_point{})
        hub_contact_at_ = now;
    bool const lacks_hub =
        !it.ready && now - hub_contact_at_ > initial_hub_timeout;
    bool const lacks_reads = now - hubs_read_at_ > max_hub_read_age;
    bool const is_stale =
        it.read_age > max_fresh_read_age || !hubs_reach_store_;
    if (it.serves_members && is_stale)
        read_until_ = now + min_reading_period;
    return lacks_hub || lacks_reads || now < read_until_ || it.reads_for_fleet;
}

} // namespace pomelohinge
