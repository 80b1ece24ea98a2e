#ifndef POMELOHINGE_SERVERS_MEMBERSHIP_CONFIGURATION_FOLLOWER_HPP
#define POMELOHINGE_SERVERS_MEMBERSHIP_CONFIGURATION_FOLLOWER_HPP

#include "config/configuration_text.hpp"
#include "core/chart.hpp"
#include "core/clock.hpp"
#include "servers/membership/configuration_chart.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace pomelohinge {

/// Follows the journal of the configuration. Entries are applied in the
/// order of their versions and each one once, from whatever source they
/// come, so that the version only rises.
class configuration_follower
{
public:
    explicit configuration_follower(chart<configuration_chart> const& rules);

    /// Takes an entry from the store or another VM. Returns whether the
    /// configuration changed.
    bool offer(journal_entry const& entry, time_point now);

    /// Starts from a whole configuration of a higher version, as a VM that
    /// has just started does.
    bool offer_whole(
        configuration whole, std::uint64_t version, time_point now);

    /// A source that is current has no entry beyond the version held.
    void confirmed_current(time_point now);

    /// Timeouts.
    void tick(time_point now);

    configuration const& current() const { return current_; }
    std::uint64_t version() const { return version_; }
    /// Whether requests can be served by it.
    bool ready() const;
    configuration_state state() const { return life_.state(); }

    /// Whether entries are missing and should be asked for now; clears it.
    bool take_missing() { return std::exchange(missing_, false); }

    /// Entries after `version`, as far as they are kept. Empty either if
    /// there is none or if the oldest needed one is no longer kept.
    std::vector<journal_entry> entries_after(
        std::uint64_t version, std::size_t most) const;

    /// Whether `entries_after(version)` can be answered.
    bool keeps_after(std::uint64_t version) const;

    /// For the chart.
    bool check(configuration_guard) const { return true; }
    void perform(configuration_action action);

private:
    void keep_recent();
    void fire(configuration_event event, time_point now);

    chart_instance<configuration_chart> life_;
    configuration current_;
    std::uint64_t version_ = 0;
    std::deque<journal_entry> recent_;
    /// Changes in all of `recent_`.
    std::size_t recent_changes_ = 0;
    journal_entry const* offered_ = nullptr;
    time_point entered_at_{};
    bool missing_ = false;
};

} // namespace pomelohinge

#endif
