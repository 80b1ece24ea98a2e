#ifndef POMELOHINGE_SERVERS_CONTROL_SYNC_SERVER_HPP
#define POMELOHINGE_SERVERS_CONTROL_SYNC_SERVER_HPP

#include "servers/control/fleet_state.hpp"
#include "servers/control/remote_members.hpp"
#include "servers/entries/entry_selection.hpp"
#include "servers/exchange/remote_reports.hpp"
#include "servers/membership/hub_order.hpp"
#include "servers/membership/member_table.hpp"

#include <functional>
#include <list>
#include <map>

namespace pomelohinge {

/// Answers sync questions of the VMs that use this one as their hub and of the
/// hubs of other data centres.
class sync_server
{
public:
    using reply_callback = std::function<void(sync_reply)>;

    sync_server(
        vm_record const& self, fleet_state const& state, member_table& members)
        : self_(self), fleet_state_(state), members_(members),
          remote_reports_(self.incarnation)
    {
    }

    /// Answers at once if there are updates for the sender or the question sets
    /// no long poll timeout; otherwise as soon as there are updates or the
    /// timeout has passed.
    void answer(sync_question question, time_point now, reply_callback reply);

    /// Answers the long polls that have updates or have reached their timeout,
    /// and those of VMs without traffic after each read of the store, so that
    /// their data ages no further than that of this VM.
    void answer_long_polls(time_point now);

    /// The store's data that the sender of `question` lacks.
    sync_reply make_store_reply(
        sync_question const& question, time_point now) const;

    /// The answer to a probe: this VM's own row of the member list.
    sync_reply make_probe_reply() const;

    /// Stores this VM's own report and returns the sum of the others.
    traffic_report exchange_own_report(traffic_report report, time_point now);

    /// Sets the budget for reports to other data centres, in bytes per second;
    /// 0 for none.
    void set_remote_budget(double bytes_per_second)
    {
        remote_reports_.set_budget(bytes_per_second);
    }

    /// Adds the sum of the reports of this data centre to a question for the
    /// hub of another one.
    void write_remote_report(sync_question& question,
        data_centre_id const& data_centre, vm_id const& hub, time_point now);

    /// Records the reply to that question, and stores the report in it. Returns
    /// whether to ask again at once.
    bool record_remote_reply(data_centre_id const& data_centre,
        sync_reply const& reply, time_point now);

    /// Sets the number of other data centres, whose reports are needed for a
    /// complete sum.
    void expect_other_data_centres(std::size_t n)
    {
        reports_.expect_remote_sources(n);
        remote_reports_.set_data_centres(n);
    }

    /// Sets whether this VM's reads of the store succeed; true if it makes
    /// none.
    void set_store_reached(bool reached) { store_reached_ = reached; }

    /// Selects the VMs that callers of this data centre use as entries, and
    /// records them in the member table.
    void choose_entries(time_point now);

    /// Whether a question of a member (not of another hub) has arrived within
    /// `span`.
    bool was_asked_within(duration span, time_point now) const
    {
        return last_question_at_ != time_point{} &&
            now - last_question_at_ < span;
    }

    /// When the next long poll times out; `time_point::max()` if there is none.
    time_point next_due() const;

    /// Drops reports of sources that no longer report.
    void expire(time_point now);

private:
    struct long_poll
    {
        sync_question question;
        /// When the timeout of the long poll passes.
        time_point due;
        reply_callback reply;
    };

    /// Whether there is anything that the sender of `question` lacks.
    bool has_updates(sync_question const& question, time_point now) const;
    /// Whether this VM has read the store since its last reply to the sender.
    bool has_newer_read(sync_question const& question) const;
    sync_reply make_reply(sync_question const& question, time_point now);
    void add_report(sync_question& question, time_point now);
    void write_members(sync_question const& question, sync_reply& reply);
    void write_others(
        sync_question const& question, sync_reply& reply, time_point now);
    organisation_usage usage_of(std::string const& organisation) const;

    vm_record const& self_;
    fleet_state const& fleet_state_;
    member_table& members_;
    report_aggregator reports_;
    remote_reports remote_reports_;
    remote_members remote_members_;
    entry_selection entries_;
    std::list<long_poll> long_polls_;
    /// The read of the store that the last reply to each VM was based on.
    std::map<vm_id, time_point> replied_reads_;
    time_point last_question_at_{};
    bool store_reached_ = true;
};

} // namespace pomelohinge

#endif
