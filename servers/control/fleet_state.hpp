#ifndef POMELOHINGE_SERVERS_CONTROL_FLEET_STATE_HPP
#define POMELOHINGE_SERVERS_CONTROL_FLEET_STATE_HPP

#include "servers/exchange/sync.hpp"
#include "servers/requests/policy.hpp"

namespace pomelohinge {

/// This VM's copy of the configuration, the targets and the closed data
/// centres. No part reverts: data older than the copy is ignored, whatever its
/// source.
class fleet_state
{
public:
    /// Whether `version` is newer than the configuration held.
    bool lacks_configuration(std::uint64_t version) const
    {
        return version > document_.version;
    }

    /// Applies the configuration decoded from `document`, which is newer than
    /// the one held.
    void set_configuration(
        configuration_document document, configuration const& decoded);

    /// Records that a read of the store at `read_at` returned `version`.
    void confirm(std::uint64_t version, time_point read_at);

    /// Both return whether the copy changed.
    bool apply_targets(target_changes changes);
    bool apply_closures(data_centre_closures closures);

    /// Takes over decisions on rollouts of another VM, or sets those of this
    /// one. Returns whether the copy changed.
    bool apply_rollouts(rollout_decisions decisions, time_point now)
    {
        return merge_decisions(rollouts_, std::move(decisions), now);
    }

    configuration_document const& document() const { return document_; }
    std::shared_ptr<configuration_index const> const& index() const
    {
        return index_;
    }
    /// Time of the latest read of the store that returned the configuration
    /// held; `time_point{}` if there was none.
    time_point read_at() const { return read_at_; }
    /// Time since `read_at()`; `duration::max()` if there was no read.
    duration read_age(time_point now) const
    {
        return read_at_ == time_point{} ? duration::max() : now - read_at_;
    }
    target_mirror const& targets() const { return targets_; }
    std::shared_ptr<target_catalogue const> const& catalogue() const
    {
        return catalogue_;
    }
    data_centre_closures const& closures() const { return closures_; }
    rollout_decisions const& rollouts() const { return rollouts_; }
    /// The era of the store that the targets were read in.
    store_era const& era() const { return targets_.position().era; }

    /// Whether the VM can serve requests: it has a configuration and targets.
    bool ready() const { return document_.version > 0 && targets_.has_list(); }

private:
    configuration_document document_;
    std::shared_ptr<configuration_index const> index_ =
        std::make_shared<configuration_index>(configuration(), 0);
    time_point read_at_{};
    target_mirror targets_;
    std::shared_ptr<target_catalogue const> catalogue_ =
        std::make_shared<target_catalogue>();
    data_centre_closures closures_;
    rollout_decisions rollouts_;
};

} // namespace pomelohinge

#endif
