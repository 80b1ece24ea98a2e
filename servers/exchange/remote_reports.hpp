#ifndef POMELOHINGE_SERVERS_EXCHANGE_REMOTE_REPORTS_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_REMOTE_REPORTS_HPP

#include "servers/exchange/report_receiver.hpp"
#include "servers/exchange/report_sender.hpp"
#include "servers/exchange/sync.hpp"

#include <map>

namespace pomelohinge {

/// The reports that a hub exchanges with the hubs of other data centres within
/// a budget of bytes. Without a budget it sends no changes, but uses those of
/// others.
///
/// Reports are sent in questions and confirmed by replies. A reply has the
/// report only while the questions of this hub are not confirmed.
class remote_reports
{
public:
    explicit remote_reports(std::uint64_t first_stream)
        : first_stream_(first_stream)
    {
    }

    /// Sets the budget for all other data centres together; 0 for none.
    void set_budget(double bytes_per_second) { budget_ = bytes_per_second; }
    bool has_budget() const { return budget_ > 0; }
    void set_data_centres(std::size_t n) { data_centres_ = n; }

    /// Adds `report` to a question for the hub `hub` of a data centre, as
    /// changes if there is a budget.
    void write(sync_question& question, data_centre_id const& data_centre,
        vm_id const& hub, traffic_report report,
        report_sender::usage_lookup const& usage, time_point now);

    /// Records the reply to the last question. Returns whether to ask again at
    /// once.
    bool record_reply(data_centre_id const& data_centre,
        sync_reply const& reply, time_point now);

    /// Takes the report out of a question of another hub; empty if it cannot
    /// be decoded.
    std::optional<traffic_report> take_report(
        sync_question& question, time_point now);

    /// The position held of the sender's report, for the reply.
    report_position position_of(vm_id const& sender) const;

    /// Whether the reply to a question needs no report, because that data
    /// centre confirms the questions of this hub.
    bool omits_report(sync_question const& question, time_point now) const;

    /// Counts bytes for the budget, beside those of reports.
    void charge(data_centre_id const& data_centre, double bytes);

    /// Drops the state of senders that no longer send.
    void expire(time_point now);

private:
    struct peer
    {
        report_sender sender;
        vm_id hub;
        /// The hub has confirmed changes, so it can decode them.
        bool decodes_changes = false;
    };

    std::uint64_t first_stream_;
    double budget_ = 0;
    std::size_t data_centres_ = 1;
    std::map<data_centre_id, peer> peers_;
    std::map<vm_id, report_receiver> receivers_;
};

} // namespace pomelohinge

#endif
