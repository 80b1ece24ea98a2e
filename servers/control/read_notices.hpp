#ifndef POMELOHINGE_SERVERS_CONTROL_READ_NOTICES_HPP
#define POMELOHINGE_SERVERS_CONTROL_READ_NOTICES_HPP

#include "servers/control/control_environment.hpp"
#include "servers/control/fleet_state.hpp"
#include "servers/membership/vm_record.hpp"

#include <functional>
#include <optional>
#include <utility>

namespace pomelohinge {

/// Passes on what a VM that is no hub has read from the store: it notifies the
/// VMs of its data centre, and those that lack its data ask for it.
template <class Environment>
class read_notices
{
public:
    /// `make_request` says what this VM has. `apply` is called with the reply
    /// to a request and the time of the request.
    read_notices(Environment& environment, fleet_state const& state,
        std::function<sync_question()> make_request,
        std::function<void(sync_reply, time_point)> apply)
        : environment_(environment), fleet_state_(state),
          make_request_(std::move(make_request)), apply_(std::move(apply))
    {
    }

    /// Notifies the VMs in `receivers` other than the sender. `on_contact` is
    /// called for each one that replies.
    void send(sync_question const& notice, fleet_members const& receivers,
        std::function<void()> const& on_contact)
    {
        for (auto const& it : receivers) {
            if (it.record.vm != notice.from.vm)
                environment_.send_sync(it.record.peers_address, notice,
                    [on_contact](sync_reply const& reply) {
                        if (reply.reached)
                            on_contact();
                    });
        }
    }

    /// Asks the sender of a notice for what this VM lacks, if it lacks
    /// anything.
    void answer(sync_question notice)
    {
        if (!offers_news(notice))
            return;
        // The request in flight may reach a VM that has less than this one.
        if (is_asking_) {
            next_ = std::move(notice);
            return;
        }
        is_asking_ = true;
        environment_.send_sync(notice.from.peers_address, make_request_(),
            [this, requested_at = environment_.now()](sync_reply reply) {
                is_asking_ = false;
                if (reply.reached)
                    apply_(std::move(reply), requested_at);
                if (auto next = std::exchange(next_, std::nullopt))
                    answer(std::move(*next));
            });
    }

private:
    /// Data of the own hub is older than this only if the reads of the store
    /// fail or take long.
    static constexpr duration max_read_age = std::chrono::milliseconds(700);

    bool offers_news(sync_question const& notice) const
    {
        auto const age = fleet_state_.read_age(environment_.now());
        return fleet_state_.lacks_configuration(notice.configuration_version) ||
            fleet_state_.targets().position().is_before(notice.targets) ||
            fleet_state_.closures().is_before(notice.closures) ||
            (notice.read_age < age && age > max_read_age);
    }

    Environment& environment_;
    fleet_state const& fleet_state_;
    std::function<sync_question()> make_request_;
    std::function<void(sync_reply, time_point)> apply_;
    bool is_asking_ = false;
    /// The latest notice that arrived during a request and offers news.
    std::optional<sync_question> next_;
};

} // namespace pomelohinge

#endif
