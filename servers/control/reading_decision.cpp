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
/// A VM whose hubs have sent no data of a more recent read than this takes its
/// turn to read the store. Other hubs need up to `max_fresh_read_age` and a
/// tick to replace one that fails, and a change is due everywhere after 2 s.
constexpr duration max_hub_read_age = std::chrono::milliseconds(1650);
/// A VM whose hub has not replied for this long counts as one without a hub. It
/// is longer than a long poll at the hub takes.
constexpr duration hub_contact_timeout = std::chrono::milliseconds(1200);

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

bool reading_decision::has_hub(time_point now) const
{
    return now - hub_contact_at_ < hub_contact_timeout;
}

bool reading_decision::lacks_reads(time_point now) const
{
    return now - hubs_read_at_ > max_hub_read_age;
}

bool reading_decision::must_read(reading_conditions const& it, time_point now)
{
    if (hub_contact_at_ == time_point{})
        hub_contact_at_ = now;
    bool const lacks_hub =
        !it.ready && now - hub_contact_at_ > initial_hub_timeout;
    bool const is_stale =
        it.read_age > max_fresh_read_age || !hubs_reach_store_;
    // The data may be recent by now only because of this VM's turn, which must
    // not end its reads at once.
    bool const has_found_store = turns_.note_outcome(it.outcome, now);
    bool is_turn = false;
    if (lacks_reads(now))
        is_turn = turns_.must_read(it.place, it.outcome, now);
    else
        turns_.end();
    if ((it.serves_members && is_stale) || has_found_store)
        read_until_ = now + min_reading_period;
    return lacks_hub || is_turn || now < read_until_ || it.reads_for_fleet;
}

} // namespace pomelohinge
