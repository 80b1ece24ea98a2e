#ifndef POMELOHINGE_SERVERS_CONTROL_REGISTRATION_HPP
#define POMELOHINGE_SERVERS_CONTROL_REGISTRATION_HPP

#include "core/log.hpp"
#include "core/timer_service.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/membership/member_table.hpp"

#include <algorithm>

namespace pomelohinge {

/// How a VM that starts learns of the others: from the list in the store,
/// into which it enters itself, or from its seeds while the store is away.
template <class Environment>
class registration
{
public:
    registration(Environment& environment, timer_service& timers,
        vm_record const& self, member_table& members,
        std::vector<std::string> seeds)
        : environment_(environment), timers_(timers), self_(self),
          members_(members), seeds_(std::move(seeds))
    {
    }

    /// Calls `known` once some other VMs are known, or none exist.
    void start(std::function<void()> known)
    {
        on_known_ = std::move(known);
        list();
    }

    /// Whether the other VMs are known.
    bool known() const { return known_; }

    /// Reads the list again if that was long ago.
    void refresh()
    {
        auto const now = environment_.now();
        if (!known_ || now < next_refresh_)
            return;
        bool const first = next_refresh_ == time_point{};
        next_refresh_ = now + refresh_period;
        if (!first)
            list();
    }

private:
    static constexpr duration shortest_retry = std::chrono::milliseconds(300);
    static constexpr duration longest_retry = std::chrono::milliseconds(2000);
    /// Seeds are asked once the store has not answered for so long.
    static constexpr duration store_patience = std::chrono::milliseconds(250);
    /// VMs that start together enter themselves at the same time; the list
    /// is read again when all of them stand in it.
    static constexpr duration settling_time = std::chrono::milliseconds(700);
    /// The list is read again now and then, so that VMs which learnt of
    /// different ones while the store was away find each other.
    static constexpr duration refresh_period = std::chrono::seconds(30);

    void list()
    {
        if (!known_)
            seeds_timer_ = timers_.once(
                environment_.now(), store_patience, [this] { ask_seeds(0); });
        environment_.list_vms([this](vms_result reading) {
            if (reading.status != store_status::done)
                return retry();
            members_.listed(reading.vms, environment_.now());
            if (!stands_in(reading.vms))
                return enter();
            set_known();
        });
    }

    bool stands_in(std::vector<vm_record> const& listed) const
    {
        return std::any_of(listed.begin(), listed.end(), [&](auto const& it) {
            return it.vm == self_.vm && it.data_centre == self_.data_centre &&
                it.peers_address == self_.peers_address &&
                it.callers_address == self_.callers_address;
        });
    }

    duration next_retry()
    {
        auto const wait = retry_;
        retry_ = std::min(retry_ * 2, longest_retry);
        auto const spread = static_cast<std::uint64_t>(wait.count());
        return wait +
            duration(
                static_cast<duration::rep>(environment_.random() % spread));
    }

    void retry()
    {
        timer_ =
            timers_.once(environment_.now(), next_retry(), [this] { list(); });
    }

    void set_known()
    {
        seeds_timer_.cancel();
        if (!std::exchange(known_, true))
            on_known_();
    }

    void enter()
    {
        environment_.register_vm(self_, [this](store_status status) {
            if (status != store_status::done) {
                log(log_event::registration_failed,
                    {{"status", to_name(status)}});
                return retry();
            }
            timer_ = timers_.once(
                environment_.now(), settling_time, [this] { list(); });
        });
    }

    void ask_seeds(std::size_t next)
    {
        if (known_ || seeds_.empty())
            return;
        auto const& seed = seeds_[next % seeds_.size()];
        seeds_timer_ = timers_.once(environment_.now(), store_patience,
            [this, next] { ask_seeds(next + 1); });
        if (seed == self_.peers_address)
            return;
        sync_question question;
        question.from = self_;
        question.liveness_timeout = longest_retry;
        environment_.send_sync(seed, question, [this](sync_reply reply) {
            if (!reply.reached || !reply.members || known_)
                return;
            members_.told(*reply.members, environment_.now());
            set_known();
        });
    }

    Environment& environment_;
    timer_service& timers_;
    vm_record const& self_;
    member_table& members_;
    std::vector<std::string> seeds_;
    std::function<void()> on_known_;
    bool known_ = false;
    time_point next_refresh_{};
    duration retry_ = shortest_retry;
    timer_service::subscription timer_;
    timer_service::subscription seeds_timer_;
};

} // namespace pomelohinge

#endif
