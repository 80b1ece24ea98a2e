#ifndef POMELOHINGE_MAIN_CONTROL_THREAD_HPP
#define POMELOHINGE_MAIN_CONTROL_THREAD_HPP

#include "core/timer_service.hpp"
#include "drivers/peers/peer_client.hpp"
#include "main/traffic_thread.hpp"
#include "servers/control/control_plane.hpp"

#include <malloc.h>

namespace pomelohinge {

/// The control thread: runs the control plane and provides it with timers, the
/// store, the connections to other VMs and access to the traffic threads.
template <FleetPlatform Platform>
class control_thread
{
public:
    control_thread(settings const& configured, chart_list const& charts,
        traffic_threads<Platform> const& traffic)
        : settings_(configured), traffic_(traffic),
          random_(std::random_device{}()), wakeup_timer_(context_),
          http_client_(context_),
          store_(http_client_, configured.platform_address),
          peer_client_(context_),
          control_plane_(make_vm_record(configured, random_()),
              configured.seeds, *this, timers_, charts.hub_candidate,
              make_rollout_setup(configured, charts))
    {
        control_plane_.set_remote_budget(configured.remote_bytes_per_second);
    }

    asio::io_context& context() { return context_; }
    control_plane<control_thread>& plane() { return control_plane_; }

    /// Starts the control plane; the caller then runs `context()`.
    void start()
    {
        control_plane_.start();
        run_timers();
    }

    /// Runs `work` on this thread. Can be called from any thread.
    void post(std::function<void()> work)
    {
        asio::post(context_, std::move(work));
    }

    /// Runs `work` on this thread after `delay`.
    void after(duration delay, std::function<void()> work)
    {
        auto const timer =
            std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait([timer, work = std::move(work)](asio::error_code ec) {
            if (!ec)
                work();
        });
    }

    /// Ends the calls to other VMs. Can be called from any thread.
    void stop_calls(std::chrono::milliseconds grace)
    {
        peer_client_.stop(grace);
    }

    // Interface for the control plane; see `ControlEnvironment`.

    time_point now() const { return boottime_clock::now(); }
    std::uint64_t random() { return random_(); }

    std::optional<configuration> decode_configuration(
        std::string_view text, findings& found) const
    {
        return Platform::decode_configuration(text, found);
    }

    void read_configuration(std::function<void(configuration_result)> done)
    {
        store_.read_configuration(std::move(done));
    }
    void list_targets(std::function<void(targets_result)> done)
    {
        store_.list_targets(std::move(done));
    }
    void watch_targets(std::uint64_t revision, duration long_poll_timeout,
        std::function<void(targets_result)> done)
    {
        store_.watch_targets(revision, long_poll_timeout, std::move(done));
    }
    void list_closures(std::function<void(closures_result)> done)
    {
        store_.list_closures(std::move(done));
    }
    void list_rollouts(std::function<void(rollouts_result)> done)
    {
        store_.list_rollouts(std::move(done));
    }
    void write_rollout(rollout_order const& order, rollout_status status,
        std::function<void(rollout_write_result)> done)
    {
        store_.write_rollout(order, status, std::move(done));
    }
    void list_vms(std::function<void(vms_result)> done)
    {
        store_.list_vms(std::move(done));
    }
    void register_vm(
        vm_record const& vm, std::function<void(store_status)> done)
    {
        store_.register_vm(vm, std::move(done));
    }
    void remove_vm(vm_id const& vm, std::function<void(store_status)> done)
    {
        store_.remove_vm(vm, std::move(done));
    }

    void send_sync(std::string const& address, sync_question const& question,
        std::function<void(sync_reply)> done)
    {
        peer_client_.sync(address, question, std::move(done));
    }

    void publish(policy_pointer const& next)
    {
        retained_policies_.emplace_back(now(), next);
        for (auto const& it : traffic_)
            it->post([next, &thread = *it] { thread.set_policy(next); });
    }

    void set_read_at(time_point at)
    {
        if (std::exchange(published_read_at_, at) == at)
            return;
        for (auto const& it : traffic_)
            it->post([at, &thread = *it] { thread.set_read_at(at); });
    }

    void distribute_report(traffic_report const& report)
    {
        auto const shared_report = std::make_shared<traffic_report>(report);
        for (auto const& it : traffic_)
            it->post([shared_report, &thread = *it] {
                thread.apply_report(*shared_report);
            });
    }

    void collect_report(std::function<void(traffic_report)> done)
    {
        struct collected_reports
        {
            std::size_t pending;
            traffic_report sum;
        };
        auto const all = std::make_shared<collected_reports>(
            collected_reports{traffic_.size(), traffic_report()});
        for (auto const& it : traffic_)
            it->post([this, all, done, &thread = *it] {
                post([all, done, report = thread.make_report()] {
                    all->sum.add(report);
                    if (--all->pending > 0)
                        return;
                    // Each thread with enough load sets `entries` to 1, but
                    // together they are one entry VM.
                    all->sum.entries = all->sum.entries > 0 ? 1 : 0;
                    done(std::move(all->sum));
                });
            });
    }

private:
    /// How long a published snapshot is kept alive. After this time no request
    /// uses it any more.
    static constexpr duration policy_retention = std::chrono::seconds(5);
    static constexpr duration maintenance_period = std::chrono::seconds(1);

    static vm_record make_vm_record(
        settings const& configured, std::uint64_t incarnation)
    {
        return {configured.vm, configured.data_centre, configured.peers_address,
            configured.callers_address, incarnation, vm_standing::starting,
            configured.cores, configured.link_mbps};
    }

    static std::optional<rollout_setup> make_rollout_setup(
        settings const& configured, chart_list const& charts)
    {
        if (!configured.rollouts)
            return std::nullopt;
        return rollout_setup{*configured.rollouts, charts.rollout};
    }

    void run_timers()
    {
        timers_.run_due(now());
        if (now() - last_maintenance_at_ > maintenance_period)
            run_maintenance();
        // A timer that is added during the wait can run up to
        // `max_timer_wait` late, which is acceptable for all timers here.
        constexpr duration max_timer_wait = std::chrono::milliseconds(50);
        auto const due = timers_.next_due().value_or(now() + max_timer_wait);
        auto const wait =
            std::clamp<duration>(due - now(), duration::zero(), max_timer_wait);
        wakeup_timer_.expires_after(wait);
        wakeup_timer_.async_wait([this](asio::error_code ec) {
            if (!ec)
                run_timers();
        });
    }

    void run_maintenance()
    {
        last_maintenance_at_ = now();
        // Snapshots are freed on this thread, since freeing a large one on a
        // traffic thread would delay requests.
        auto const released =
            std::erase_if(retained_policies_, [&](auto const& it) {
                return now() - it.first > policy_retention;
            });
        // Without this the allocator would keep the memory of a large
        // snapshot instead of returning it to the system.
        if (released > 0)
            malloc_trim(0);
        peer_client_.close_idle(now());
    }

    settings const& settings_;
    traffic_threads<Platform> const& traffic_;
    std::mt19937_64 random_;
    asio::io_context context_{1};
    asio::steady_timer wakeup_timer_;
    timer_service timers_;
    curl_loop http_client_;
    typename Platform::store store_;
    peer_client peer_client_;
    std::vector<std::pair<time_point, policy_pointer>> retained_policies_;
    time_point published_read_at_{};
    time_point last_maintenance_at_{};
    control_plane<control_thread> control_plane_;
};

} // namespace pomelohinge

#endif
