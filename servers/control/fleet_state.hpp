#ifndef POMELOHINGE_SERVERS_CONTROL_FLEET_STATE_HPP
#define POMELOHINGE_SERVERS_CONTROL_FLEET_STATE_HPP

#include "servers/exchange/sync.hpp"
#include "servers/requests/policy.hpp"

namespace pomelohinge {

/// What this VM knows of the configuration, the targets and the closed data
/// centres. Each part only goes forward: what is older than what is held is
/// not taken, whoever sends it.
class fleet_state
{
public:
    /// Whether `version` would be news.
    bool lacks_configuration(std::uint64_t version) const
    {
        return version > document_.version;
    }

    /// Takes a configuration that was read from `document`.
    void set_configuration(
        configuration_document document, configuration const& read);

    /// The store was read at `read_at` and held `version`.
    void confirm(std::uint64_t version, time_point read_at);

    /// Both return whether anything changed.
    bool take_targets(target_changes changes);
    bool take_closures(data_centre_closures closures);

    configuration_document const& document() const { return document_; }
    std::shared_ptr<configuration_index const> const& index() const
    {
        return index_;
    }
    time_point read_at() const { return read_at_; }
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

    /// Whether requests can be decided on.
    bool ready() const { return document_.version > 0 && targets_.known(); }

private:
    configuration_document document_;
    std::shared_ptr<configuration_index const> index_ =
        std::make_shared<configuration_index>(configuration(), 0);
    time_point read_at_{};
    target_mirror targets_;
    std::shared_ptr<target_catalogue const> catalogue_ =
        std::make_shared<target_catalogue>();
    data_centre_closures closures_;
};

} // namespace pomelohinge

#endif
