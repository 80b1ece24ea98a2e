#ifndef POMELOHINGE_SERVERS_CONTROL_READING_DECISION_HPP
#define POMELOHINGE_SERVERS_CONTROL_READING_DECISION_HPP

#include "servers/control/store_turns.hpp"
#include "servers/exchange/sync.hpp"

namespace pomelohinge {

/// Staleness bound of the store data of a hub. The configuration is read every
/// 0.8 s and reaches another hub within half a second.
inline constexpr duration max_fresh_read_age = std::chrono::milliseconds(1400);

/// The state of a VM that decides whether it reads the store.
struct reading_conditions
{
    /// It has a configuration and targets.
    bool ready = false;
    /// It is the hub of its data centre.
    bool is_hub = false;
    /// It is the hub of the first data centre.
    bool reads_for_fleet = false;
    /// It is a hub, or members have sent it questions recently.
    bool serves_members = false;
    /// Age of the configuration that it holds.
    duration read_age{};
    /// Used only if `reading_decision::lacks_reads`.
    turn_place place;
    read_outcome outcome = read_outcome::pending;
};

/// Decides whether a VM reads the store: for the whole fleet if it is the hub
/// of the first data centre, for the VMs that send it questions if the data of
/// other hubs is stale, and in turn with the others of its data centre if no
/// hub provides recent data. A VM that is cut off from all others, or lacks a
/// configuration, does not wait for its turn.
class reading_decision
{
public:
    void start(time_point now) { hubs_read_at_ = now; }

    /// Records that this VM's hub has replied.
    void note_hub_contact(time_point now)
    {
        hub_contact_at_ = now;
        turns_.note_contact(now);
    }

    /// Records that a VM other than this VM's hub has been heard of.
    void note_contact(time_point now) { turns_.note_contact(now); }

    /// Whether this VM's hub has replied recently.
    bool has_hub(time_point now) const;

    /// Whether no hub has sent recent data.
    bool lacks_reads(time_point now) const;

    /// Records the reply of a hub to a VM that holds `version`. `replied_at` is
    /// when the hub replied: when its reply arrived, or, if that was late, when
    /// the hub had to reply.
    void note_reply(
        sync_reply const& reply, std::uint64_t version, time_point replied_at);

    bool must_read(reading_conditions const& it, time_point now);

private:
    /// When this VM's hub last replied, or when it was first chosen.
    time_point hub_contact_at_{};
    /// The latest read of the store whose data hubs have sent; the start of
    /// this VM if there was none.
    time_point hubs_read_at_{};
    /// `store_reached` in the last reply of any hub.
    bool hubs_reach_store_ = true;
    time_point read_until_{};
    store_turns turns_;
};

} // namespace pomelohinge

#endif
