#ifndef POMELOHINGE_SERVERS_CONTROL_HUB_PROBES_HPP
#define POMELOHINGE_SERVERS_CONTROL_HUB_PROBES_HPP

#include "core/log.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/probe_schedule.hpp"

#include <functional>

namespace pomelohinge {

/// Sends the probes that `probe_schedule` decides on. A probe asks a VM whether
/// it is there, and makes this one known to it.
template <class Environment>
class hub_probes
{
public:
    using end_callback = std::function<void(vm_id const&, sync_reply const&)>;

    /// `on_end` is called with the reply to each probe after the selector has
    /// got its result.
    hub_probes(
        Environment& environment, hub_selector& selector, end_callback on_end)
        : environment_(environment), selector_(selector), schedule_(selector),
          on_end_(std::move(on_end))
    {
    }

    /// Sends `probe` to the VMs that are due.
    void update(fleet_members const& members, bool is_hub, sync_question probe)
    {
        auto const now = environment_.now();
        probe.liveness_timeout = liveness_timeout;
        for (auto const& it : schedule_.begin(members, probe.from, is_hub, now))
            environment_.send_sync(it.peers_address, probe,
                [this, vm = it.vm, probed_at = now](
                    sync_reply const& reply) { end(vm, probed_at, reply); });
    }

private:
    /// How long this VM counts as alive at one that it has probed. If that is
    /// to be its hub, it follows in that time.
    static constexpr duration liveness_timeout =
        std::chrono::milliseconds(1000);

    void end(vm_id const& vm, time_point probed_at, sync_reply const& reply)
    {
        schedule_.end(vm);
        auto const now = environment_.now();
        if (reply.reached)
            selector_.note_answer(vm, now);
        else if (!was_paused_meanwhile(duration::zero(), probed_at, now))
            selector_.note_failure(vm, now);
        on_end_(vm, reply);
    }

    Environment& environment_;
    hub_selector& selector_;
    probe_schedule schedule_;
    end_callback on_end_;
};

} // namespace pomelohinge

#endif
