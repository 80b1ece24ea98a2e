#ifndef POMELOHINGE_SERVERS_CONTROL_RETURNED_HUB_HPP
#define POMELOHINGE_SERVERS_CONTROL_RETURNED_HUB_HPP

#include "core/log.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/hub_selector.hpp"

#include <functional>
#include <vector>

namespace pomelohinge {

/// Lets the two hubs of a data centre find each other, of which nobody else
/// tells them: a hub asks a VM which it has seen leaving, and which comes
/// before it in the order of hubs, whether it serves again; and one that comes
/// first makes itself known to those that come next.
template <class Environment>
class returned_hub
{
public:
    returned_hub(Environment& environment, hub_selector& selector)
        : environment_(environment), selector_(selector)
    {
    }

    /// Asks such a VM, or one that may be a second hub since it does not know
    /// this one, unless one is being asked. `on_answer` is called with its
    /// reply, whose members are that VM alone. The question makes this VM known
    /// to the other one.
    void ask(fleet_members const& members, vm_record const& self,
        sync_question question, std::function<void(sync_reply)> on_answer)
    {
        if (is_asking_)
            return;
        auto const now = environment_.now();
        auto const returned =
            selector_.find_returned(members, self.data_centre, self.vm, now);
        if (self.standing != vm_standing::serving)
            serving_since_ = now;
        // A VM that returns is asked by its successor, which all VMs then leave
        // at the same time.
        auto const asked = returned || now - serving_since_ < unheard_delay
            ? returned
            : selector_.find_unheard(members, self.data_centre, self.vm, now);
        if (!asked)
            return;
        is_asking_ = true;
        question.is_idle = true;
        question.liveness_timeout = liveness_timeout;
        environment_.send_sync(asked->peers_address, question,
            [this, vm = asked->vm, has_returned = returned.has_value(),
                on_answer](sync_reply reply) {
                is_asking_ = false;
                auto const answered_at = environment_.now();
                if (!reply.reached)
                    return selector_.note_failure(vm, answered_at);
                if (has_returned)
                    log(log_event::hub_returned, {{"hub", vm.text()}});
                selector_.note_answer(vm, reply.read_age, answered_at);
                // It may have just started and hear of few others.
                if (reply.members)
                    std::erase_if(*reply.members,
                        [&](auto const& it) { return it.record.vm != vm; });
                on_answer(std::move(reply));
            });
    }

private:
    /// How long this VM counts as alive there. It follows in that time.
    static constexpr duration liveness_timeout =
        std::chrono::milliseconds(1000);

    /// More than the time in which a successor asks a VM that returns. Without
    /// it, a planned restart left callers fewer than two entries for 2.4 s.
    static constexpr duration unheard_delay = std::chrono::milliseconds(2500);

    Environment& environment_;
    hub_selector& selector_;
    bool is_asking_ = false;
    time_point serving_since_{};
};

} // namespace pomelohinge

#endif
