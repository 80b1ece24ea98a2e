#ifndef POMELOHINGE_SERVERS_EXCHANGE_REPORT_SENDER_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_REPORT_SENDER_HPP

#include "servers/exchange/report_changes.hpp"

#include <functional>

namespace pomelohinge {

/// What all data centres have granted to an organisation within the sliding
/// window, and what its rate and burst allow there; 0 if it has no limit.
struct organisation_usage
{
    double granted = 0;
    double limit = 0;
};

/// Encodes the reports of this data centre for the hub of another one as
/// changes of what that hub has confirmed. One exchange is under way at a time.
///
/// New failures, and grants of organisations near their limit or with a
/// large change, are in the next message whatever it costs. Everything else
/// is sent at most once a second and while the budget lasts, larger changes of
/// grants first. Complete reports follow every few seconds, and after each
/// exchange without a confirmation.
class report_sender
{
public:
    using usage_lookup =
        std::function<organisation_usage(std::string const& organisation)>;

    /// `first_stream` differs between processes.
    explicit report_sender(std::uint64_t first_stream) : stream_(first_stream)
    {
    }

    /// Sets the budget, in bytes per second.
    void set_rate(double bytes_per_second) { rate_ = bytes_per_second; }

    /// Returns the changes up to `current`, whose observations are new.
    report_changes make(traffic_report const& current,
        usage_lookup const& usage, time_point now);

    /// Records the reply to the last message: the position that the receiver
    /// holds. Returns whether the complete report should follow at once, since
    /// the receiver lacks the base of the changes or a name.
    bool record_reply(report_position const& confirmed, time_point now);

    /// Records that the last message has no reply. The receiver may have used
    /// it or not, so its observations are not sent again.
    void record_failure();

    /// Subtracts other bytes that were sent from the budget.
    void charge(double bytes) { tokens_ -= bytes; }

    /// When the last message was confirmed.
    time_point confirmed_at() const { return confirmed_at_; }

private:
    struct target_state
    {
        std::uint32_t index = 0;
        bool is_named = false;
        /// What the receiver holds.
        std::uint32_t held = 0;
        /// Not sent yet, with the current number of requests in flight.
        target_report pending;
        time_point sent_at{};
        time_point failed_at{};
    };

    struct organisation_state
    {
        std::uint32_t index = 0;
        bool is_named = false;
        organisation_report held;
        organisation_report current;
        time_point sent_at{};
    };

    using target_row = text_map<target_state>::value_type;
    using organisation_row = text_map<organisation_state>::value_type;

    struct optional_row
    {
        /// Rows with a higher value are sent first.
        double importance = 0;
        target_row* target = nullptr;
        organisation_row* organisation = nullptr;
    };

    void refill(time_point now);
    void update_states(traffic_report const& current, time_point now);
    bool is_complete_due(time_point now) const;
    void begin_stream();
    void forget_idle(time_point now);
    void add_loads(
        report_changes& to, traffic_report const& current, time_point now);
    void add_all(report_changes& to, time_point now);
    void add_changed(
        report_changes& to, usage_lookup const& usage, time_point now);
    void add_optional(report_changes& to, time_point now);
    void add(report_changes& to, target_row& row, time_point now);
    void add(report_changes& to, organisation_row& row, time_point now);
    void rate_change(report_changes& to, organisation_row& row,
        organisation_usage const& usage, time_point now);

    double rate_ = 0;
    double tokens_ = 0;
    time_point refilled_at_{};
    std::uint64_t stream_;
    std::uint64_t sequence_ = 0;
    std::uint32_t last_target_ = 0;
    std::uint32_t last_organisation_ = 0;
    bool starts_stream_ = true;
    bool is_waiting_ = false;
    /// The last message has all names.
    bool began_stream_ = false;
    time_point completed_at_{};
    double complete_bytes_ = 0;
    time_point confirmed_at_{};
    time_point loads_sent_at_{};
    bool has_loads_ = false;
    text_map<target_state> targets_;
    text_map<organisation_state> organisations_;
    std::vector<optional_row> optional_;
    /// Observations in the last message, which the receiver may refuse.
    std::vector<std::pair<std::string, target_report>> sent_;
};

} // namespace pomelohinge

#endif
