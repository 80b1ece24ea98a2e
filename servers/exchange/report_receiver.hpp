#ifndef POMELOHINGE_SERVERS_EXCHANGE_REPORT_RECEIVER_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_REPORT_RECEIVER_HPP

#include "servers/exchange/report_changes.hpp"

#include <optional>

namespace pomelohinge {

/// Decodes the changes from a `report_sender` of another data centre.
class report_receiver
{
public:
    /// Returns the report after these changes, with the observations in them
    /// alone. Empty if this receiver lacks their base or a name; the position
    /// tells the sender.
    std::optional<traffic_report> apply(
        report_changes const& changes, time_point now);

    report_position const& position() const { return position_; }
    time_point received_at() const { return received_at_; }

private:
    using index_of_names = absl::flat_hash_map<std::uint32_t, std::string>;

    bool knows_base(report_changes const& changes) const;
    bool learn_names(report_changes const& changes);
    bool knows_rows(report_changes const& changes) const;
    void apply_rows(report_changes const& changes);

    report_position position_;
    index_of_names target_names_;
    index_of_names organisation_names_;
    text_map<std::uint32_t> in_flight_;
    text_map<organisation_report> organisations_;
    service_loads loads_;
    time_point received_at_{};
};

} // namespace pomelohinge

#endif
