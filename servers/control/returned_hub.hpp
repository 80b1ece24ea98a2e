#ifndef POMELOHINGE_SERVERS_CONTROL_RETURNED_HUB_HPP
#define POMELOHINGE_SERVERS_CONTROL_RETURNED_HUB_HPP

#include "core/log.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/hub_selector.hpp"

#include <functional>
#include <vector>

namespace pomelohinge {

/// Lets a hub find out that a VM which it has seen leaving, and which comes
/// before it in the order of hubs, serves again. That VM is its own hub, and
/// nobody tells one hub of a data centre of another.
template <class Environment>
class returned_hub
{
public:
    returned_hub(Environment& environment, hub_selector& selector)
        : environment_(environment), selector_(selector)
    {
    }

    /// Asks such a VM, if there is one and none is being asked. `on_answer` is
    /// called with its reply, whose members are that VM alone.
    void ask(fleet_members const& members, vm_record const& self,
        sync_question question, std::function<void(sync_reply)> on_answer)
    {
        if (is_asking_)
            return;
        auto const returned = selector_.find_returned(
            members, self.data_centre, self.vm, environment_.now());
        if (!returned)
            return;
        is_asking_ = true;
        question.is_idle = true;
        question.liveness_timeout = liveness_timeout;
        environment_.send_sync(returned->peers_address, question,
            [this, vm = returned->vm, on_answer](sync_reply reply) {
                is_asking_ = false;
                auto const now = environment_.now();
                if (!reply.reached)
                    return selector_.note_failure(vm, now);
                log(log_event::hub_returned, {{"hub", vm.text()}});
                selector_.note_answer(vm, reply.read_age, now);
                // It has just started and hears of few others.
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

    Environment& environment_;
    hub_selector& selector_;
    bool is_asking_ = false;
};

} // namespace pomelohinge

#endif
