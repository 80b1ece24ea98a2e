#ifndef POMELOHINGE_SERVERS_CONTROL_HUB_EXCHANGE_HPP
#define POMELOHINGE_SERVERS_CONTROL_HUB_EXCHANGE_HPP

#include "servers/control/control_environment.hpp"
#include "servers/control/hub_selector.hpp"
#include "servers/control/member_list_position.hpp"
#include "servers/control/sync_server.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace pomelohinge {

/// The exchange of reports and updates between the hub of this data centre and
/// those of the others.
template <class Environment>
class hub_exchange
{
public:
    /// The control plane that this is a part of.
    struct callbacks
    {
        /// What this VM has.
        std::function<sync_question()> make_question;
        /// Applies the data of another hub.
        std::function<void(sync_reply, time_point requested_at)> apply_reply;
    };

    hub_exchange(Environment& environment, vm_record const& self,
        member_table& members, hub_selector& selector, sync_server& server,
        callbacks callbacks)
        : environment_(environment), self_(self), members_(members),
          hub_selector_(selector), sync_server_(server),
          callbacks_(std::move(callbacks))
    {
    }

    /// Asks the hubs of all other data centres if that is due.
    void update()
    {
        auto const now = environment_.now();
        if (now < next_exchange_)
            return;
        next_exchange_ = now + exchange_period;
        std::set<data_centre_id> others;
        for (auto const& it : members_.members())
            if (it.record.data_centre != self_.data_centre)
                others.insert(it.record.data_centre);
        sync_server_.expect_other_data_centres(others.size());
        for (auto const& it : others)
            exchange_with(it);
    }

    /// Forgets which lists of members the other hubs have sent.
    void forget_lists() { lists_.clear(); }

private:
    static constexpr duration exchange_period = std::chrono::milliseconds(250);
    static constexpr duration liveness_timeout =
        std::chrono::milliseconds(1500);

    void exchange_with(data_centre_id const& data_centre)
    {
        auto const now = environment_.now();
        auto const hub =
            hub_selector_.choose_remote(members_.members(), data_centre, now);
        if (!hub || in_flight_.contains(data_centre))
            return;
        in_flight_.insert(data_centre);
        auto question = callbacks_.make_question();
        lists_[data_centre].write_to(question);
        question.liveness_timeout = liveness_timeout;
        sync_server_.write_remote_report(question, data_centre, hub->vm, now);
        environment_.send_sync(hub->peers_address, question,
            [this, hub = *hub, requested_at = now](sync_reply reply) {
                in_flight_.erase(hub.data_centre);
                handle_remote_hub_reply(hub, std::move(reply), requested_at);
            });
    }

    void handle_remote_hub_reply(
        vm_record const& hub, sync_reply reply, time_point requested_at)
    {
        auto const& data_centre = hub.data_centre;
        auto const now = environment_.now();
        bool const asks_again =
            sync_server_.record_remote_reply(data_centre, reply, now);
        if (!reply.reached) {
            if (!was_paused_meanwhile(duration::zero(), requested_at, now))
                hub_selector_.note_hub_failure(members_.members(), hub, now);
            return;
        }
        hub_selector_.note_answer(hub.vm, now);
        if (reply.members_are_changes)
            members_.confirm_listed(data_centre, now);
        if (reply.members) {
            lists_[data_centre].advance(reply);
            // The remote hub got its data on other data centres from their
            // hubs, and on this one from here.
            std::erase_if(*reply.members, [&](auto const& it) {
                return it.record.data_centre != data_centre;
            });
        } else if (lists_[data_centre].is_confirmed_by(reply))
            members_.confirm_listed(data_centre, now);
        callbacks_.apply_reply(std::move(reply), requested_at);
        if (asks_again)
            exchange_with(data_centre);
    }

    Environment& environment_;
    vm_record const& self_;
    member_table& members_;
    hub_selector& hub_selector_;
    sync_server& sync_server_;
    callbacks callbacks_;
    /// The list last received from the hub of each other data centre.
    std::map<data_centre_id, member_list_position> lists_;
    std::set<data_centre_id> in_flight_;
    time_point next_exchange_{};
};

} // namespace pomelohinge

#endif
