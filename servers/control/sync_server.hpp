#ifndef POMELOHINGE_SERVERS_CONTROL_SYNC_SERVER_HPP
#define POMELOHINGE_SERVERS_CONTROL_SYNC_SERVER_HPP

#include "servers/control/fleet_state.hpp"
#include "servers/entries/entry_selection.hpp"
#include "servers/membership/hub_order.hpp"
#include "servers/membership/member_table.hpp"

#include <functional>
#include <list>

namespace pomelohinge {

/// Answers the VMs that take this one for their hub.
class sync_server
{
public:
    using reply_callback = std::function<void(sync_reply)>;

    sync_server(vm_record const& self, fleet_state const& knowledge,
        member_table& members)
        : self_(self), knowledge_(knowledge), members_(members)
    {
    }

    /// Answers now if the asker lacks anything or does not wait, else once
    /// there are news or its wait is over.
    void answer(sync_question question, time_point now, reply_callback reply);

    /// Answers who waits: those for whom there are news, and those whose
    /// wait is over.
    void answer_waiting(time_point now);

    /// Takes this VM's own report and returns what others have said.
    traffic_report exchange_own(traffic_report report, time_point now);

    /// What the VMs of this data centre report, for another one's hub.
    traffic_report for_distant(data_centre_id const& data_centre);

    /// Takes what another data centre's hub reports.
    void take_distant(data_centre_id const& data_centre, traffic_report report,
        time_point now);

    /// Whether this VM reaches the store, as far as it tries.
    void set_store_reached(bool reached) { store_reached_ = reached; }

    /// Chooses the entries of this VM's data centre.
    void choose_entries(time_point now);

    /// Whether anybody has asked within `span`.
    bool asked_within(duration span, time_point now) const
    {
        return last_asked_ != time_point{} && now - last_asked_ < span;
    }

    /// When the next wait is over; maximum if nobody waits.
    time_point next_due() const;

    /// Forgets reports of those who have fallen silent.
    void expire(time_point now);

private:
    struct waiting
    {
        sync_question question;
        time_point due;
        reply_callback reply;
    };

    bool has_observations(sync_question const& question) const;
    sync_reply make_reply(sync_question const& question, time_point now);

    vm_record const& self_;
    fleet_state const& knowledge_;
    member_table& members_;
    report_aggregator ledger_;
    entry_selection entries_;
    std::list<waiting> waiting_;
    time_point last_asked_{};
    bool store_reached_ = true;
};

} // namespace pomelohinge

#endif
