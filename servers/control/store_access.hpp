#ifndef POMELOHINGE_SERVERS_CONTROL_STORE_ACCESS_HPP
#define POMELOHINGE_SERVERS_CONTROL_STORE_ACCESS_HPP

#include "servers/control/read_notices.hpp"
#include "servers/control/reading_decision.hpp"
#include "servers/control/store_reader.hpp"

#include <functional>
#include <set>

namespace pomelohinge {

/// This VM's part in the reads of the store: when it reads, for whom, and how
/// VMs that are no hub pass on what they have read.
template <class Environment>
class store_access
{
public:
    /// The control plane that this is a part of.
    struct callbacks
    {
        /// After each read of the configuration, whether it succeeded or not,
        /// and after each change.
        std::function<void()> on_change;
        /// What this VM has.
        std::function<sync_question(sync_relation)> make_question;
        /// Applies data of another VM.
        std::function<void(sync_reply, time_point requested_at)> apply_reply;
    };

    store_access(Environment& environment, timer_service& timers,
        fleet_state& state, member_table const& members, callbacks callbacks)
        : environment_(environment), fleet_state_(state), members_(members),
          callbacks_(std::move(callbacks)),
          reader_(environment, timers, state, [this] { read_ended(); }),
          notices_(
              environment, state,
              [this] {
                  return callbacks_.make_question(sync_relation::read_request);
              },
              [this](sync_reply data, time_point requested_at) {
                  note_reply(data, requested_at);
                  callbacks_.apply_reply(std::move(data), requested_at);
              })
    {
    }

    void start(time_point now) { decision_.start(now); }

    bool active() const { return reader_.active(); }
    bool reached() const { return reader_.reached(); }

    /// See `store_reader`.
    void follow_rollouts(
        std::function<void(rollout_list const&, time_point)> on_rollouts)
    {
        reader_.follow_rollouts(std::move(on_rollouts));
    }
    void list_rollouts() { reader_.list_rollouts(); }

    /// Records that this VM's hub has replied.
    void note_hub_contact(time_point now) { decision_.note_hub_contact(now); }
    /// Records that another VM has been heard of.
    void note_contact(time_point now) { decision_.note_contact(now); }

    /// Records the store data in the reply of a hub; see `reading_decision`.
    void note_reply(sync_reply const& reply, time_point replied_at)
    {
        decision_.note_reply(
            reply, fleet_state_.document().version, replied_at);
    }

    /// Starts or stops reading. `conditions` tells for whom this VM reads.
    void update(vm_record const& self, reading_conditions conditions)
    {
        auto const now = environment_.now();
        is_hub_ = conditions.is_hub;
        conditions.ready = fleet_state_.ready();
        conditions.read_age = fleet_state_.read_age(now);
        if (decision_.lacks_reads(now))
            conditions.place = find_place(self, now);
        conditions.outcome =
            reader_.active() ? reader_.outcome() : read_outcome::pending;
        bool const was_active = reader_.active();
        reader_.set_active(decision_.must_read(conditions, now));
        // Without a hub, nobody else tells the others that a VM tries to read.
        bool const begins = !was_active && reader_.active();
        if (begins && !is_hub_ && !decision_.has_hub(now))
            send_notice();
    }

    /// Answers the notice of another VM's read.
    void answer_notice(
        sync_question notice, std::function<void(sync_reply)> const& reply)
    {
        decision_.note_contact(environment_.now());
        sync_reply accepted;
        accepted.reached = true;
        reply(std::move(accepted));
        notices_.answer(std::move(notice));
    }

private:
    turn_place find_place(vm_record const& self, time_point now) const
    {
        auto const& members = members_.members();
        std::set<data_centre_id> data_centres;
        for (auto const& it : members)
            data_centres.insert(it.record.data_centre);
        return find_turn_place(
            find_neighbours(members, self, decision_.has_hub(now)), self,
            data_centres.size());
    }

    void read_ended()
    {
        callbacks_.on_change();
        bool const has_read =
            reader_.active() && reader_.outcome() == read_outcome::succeeded;
        if (has_read && !is_hub_)
            send_notice();
    }

    void send_notice()
    {
        auto const now = environment_.now();
        auto const notice =
            callbacks_.make_question(sync_relation::read_notice);
        notices_.send(notice,
            find_neighbours(
                members_.members(), notice.from, decision_.has_hub(now)),
            [this] { decision_.note_contact(environment_.now()); });
    }

    Environment& environment_;
    fleet_state& fleet_state_;
    member_table const& members_;
    callbacks callbacks_;
    store_reader<Environment> reader_;
    reading_decision decision_;
    read_notices<Environment> notices_;
    bool is_hub_ = true;
};

} // namespace pomelohinge

#endif
