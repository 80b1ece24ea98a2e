#ifndef POMELOHINGE_SERVERS_CONTROL_REGISTRATION_HPP
#define POMELOHINGE_SERVERS_CONTROL_REGISTRATION_HPP

#include "core/log.hpp"
#include "core/timer_service.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/membership/member_table.hpp"

#include <algorithm>

namespace pomelohinge {

/// Discovers the other VMs when a VM starts: from the list of VMs in the store,
/// where it also registers itself, or from its seeds while the store does not
/// answer.
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

    /// Calls `on_known` once other VMs are found or there are none.
    void start(std::function<void()> on_known)
    {
        on_members_known_ = std::move(on_known);
        list_vms();
    }

    /// Whether the other VMs have been found.
    bool members_known() const { return members_known_; }

    /// Reads the list again if the refresh period has passed.
    void refresh()
    {
        auto const now = environment_.now();
        if (!members_known_ || now < next_refresh_)
            return;
        bool const is_first = next_refresh_ == time_point{};
        next_refresh_ = now + refresh_period;
        if (!is_first)
            list_vms();
    }

    /// Registers the live VMs of this data centre again that the store has lost
    /// in a restore. `era` is the store's era.
    void restore(store_era const& era)
    {
        if (!members_known_ || !era.is_settled || era.number <= restored_era_ ||
            is_restoring_)
            return;
        is_restoring_ = true;
        environment_.list_vms([this, era](vms_result const& listing) {
            is_restoring_ = false;
            if (listing.status != store_status::done)
                return;
            restored_era_ = era.number;
            for (auto const& it : members_.members()) {
                bool const is_lost = it.alive &&
                    it.record.data_centre == self_.data_centre &&
                    !is_listed(listing.vms, it.record);
                if (is_lost)
                    environment_.register_vm(
                        it.record, [this](store_status status) {
                            // The next call finds what is still missing.
                            if (status != store_status::done)
                                restored_era_ = 0;
                        });
            }
        });
    }

private:
    static constexpr duration min_retry_delay = std::chrono::milliseconds(300);
    static constexpr duration max_retry_delay = std::chrono::milliseconds(2000);
    /// Seeds are queried if the store does not answer within this time. The
    /// next seed is queried if the previous one does not answer within the same
    /// time.
    static constexpr duration store_timeout = std::chrono::milliseconds(250);
    /// Delay between registration and the next read of the list, so that it
    /// contains all VMs that started at the same time.
    static constexpr duration settling_delay = std::chrono::milliseconds(700);
    /// The list is read again periodically, so that VMs that found different
    /// members while the store was unreachable find each other.
    static constexpr duration refresh_period = std::chrono::seconds(30);

    void list_vms()
    {
        if (!members_known_)
            seeds_timer_ = timers_.once(
                environment_.now(), store_timeout, [this] { query_seeds(0); });
        environment_.list_vms([this](vms_result listing) {
            if (listing.status != store_status::done)
                return retry();
            members_.add_listed(listing.vms, environment_.now());
            if (!is_listed(listing.vms, self_))
                return register_self();
            set_members_known();
        });
    }

    static bool is_listed(
        std::vector<vm_record> const& vms, vm_record const& vm)
    {
        return std::any_of(vms.begin(), vms.end(), [&](auto const& it) {
            return it.vm == vm.vm && it.data_centre == vm.data_centre &&
                it.peers_address == vm.peers_address &&
                it.callers_address == vm.callers_address;
        });
    }

    /// Exponential backoff with random jitter.
    duration next_retry_delay()
    {
        auto const delay = retry_delay_;
        retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
        auto const jitter_range = static_cast<std::uint64_t>(delay.count());
        return delay +
            duration(static_cast<duration::rep>(
                environment_.random() % jitter_range));
    }

    void retry()
    {
        list_timer_ = timers_.once(
            environment_.now(), next_retry_delay(), [this] { list_vms(); });
    }

    void set_members_known()
    {
        seeds_timer_.cancel();
        if (!std::exchange(members_known_, true))
            on_members_known_();
    }

    void register_self()
    {
        environment_.register_vm(self_, [this](store_status status) {
            if (status != store_status::done) {
                log(log_event::registration_failed,
                    {{"status", to_name(status)}});
                return retry();
            }
            list_timer_ = timers_.once(
                environment_.now(), settling_delay, [this] { list_vms(); });
        });
    }

    void query_seeds(std::size_t next)
    {
        if (members_known_ || seeds_.empty())
            return;
        auto const& seed = seeds_[next % seeds_.size()];
        seeds_timer_ = timers_.once(environment_.now(), store_timeout,
            [this, next] { query_seeds(next + 1); });
        if (seed == self_.peers_address)
            return;
        sync_question question;
        question.from = self_;
        question.liveness_timeout = max_retry_delay;
        environment_.send_sync(seed, question, [this](sync_reply reply) {
            if (!reply.reached || !reply.members || members_known_)
                return;
            members_.update_from_hub(*reply.members, environment_.now());
            set_members_known();
        });
    }

    Environment& environment_;
    timer_service& timers_;
    vm_record const& self_;
    member_table& members_;
    std::vector<std::string> seeds_;
    std::function<void()> on_members_known_;
    bool members_known_ = false;
    time_point next_refresh_{};
    /// Number of the latest era in which the registrations were checked.
    std::uint64_t restored_era_ = 0;
    bool is_restoring_ = false;
    duration retry_delay_ = min_retry_delay;
    timer_service::subscription list_timer_;
    timer_service::subscription seeds_timer_;
};

} // namespace pomelohinge

#endif
