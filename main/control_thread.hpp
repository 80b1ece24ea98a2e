#ifndef POMELOHINGE_MAIN_CONTROL_THREAD_HPP
#define POMELOHINGE_MAIN_CONTROL_THREAD_HPP

#include "core/timer_service.hpp"
#include "drivers/peers/peer_client.hpp"
#include "main/traffic_thread.hpp"
#include "servers/control/control_plane.hpp"

#include <malloc.h>

namespace pomelohinge {

/// The control thread: everything that the control plane decides by and
/// acts through.
template <FleetPlatform Platform>
class control_thread
{
public:
    control_thread(
        settings const& configured, traffic_threads<Platform> const& traffic)
        : settings_(configured), traffic_(traffic),
          random_(std::random_device{}()), clock_(context_), http_(context_),
          store_(http_, configured.platform_address), peers_(context_),
          plane_(record_of(configured, random_()), configured.seeds, *this,
              timers_)
    {
    }

    asio::io_context& context() { return context_; }
    control_plane<control_thread>& plane() { return plane_; }

    /// Starts the plane; the caller then runs the context.
    void start()
    {
        plane_.start();
        keep_time();
    }

    /// Runs `work` on this thread; safe from every thread.
    void post(std::function<void()> work)
    {
        asio::post(context_, std::move(work));
    }

    /// Runs `work` after a while, on this thread.
    void after(duration wait, std::function<void()> work)
    {
        auto const timer = std::make_shared<asio::steady_timer>(context_, wait);
        timer->async_wait([timer, work = std::move(work)](asio::error_code ec) {
            if (!ec)
                work();
        });
    }

    // What the control plane needs; see `ControlEnvironment`.

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
    void watch_targets(std::uint64_t revision, duration wait,
        std::function<void(targets_result)> done)
    {
        store_.watch_targets(revision, wait, std::move(done));
    }
    void list_closures(std::function<void(closures_result)> done)
    {
        store_.list_closures(std::move(done));
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
        peers_.sync(address, question, std::move(done));
    }

    void publish(policy_pointer const& next)
    {
        old_policies_.emplace_back(now(), next);
        for (auto const& it : traffic_)
            it->post([next, &thread = *it] { thread.set_policy(next); });
    }

    void set_read_at(time_point at)
    {
        if (std::exchange(sent_read_at_, at) == at)
            return;
        for (auto const& it : traffic_)
            it->post([at, &thread = *it] { thread.set_read_at(at); });
    }

    void distribute_report(traffic_report const& others)
    {
        auto const told = std::make_shared<traffic_report>(others);
        for (auto const& it : traffic_)
            it->post([told, &thread = *it] { thread.apply_report(*told); });
    }

    void collect_report(std::function<void(traffic_report)> done)
    {
        struct collected
        {
            std::size_t missing;
            traffic_report sum;
        };
        auto const all = std::make_shared<collected>(
            collected{traffic_.size(), traffic_report()});
        for (auto const& it : traffic_)
            it->post([this, all, done, &thread = *it] {
                post([all, done, report = thread.make_report()] {
                    all->sum.add(report);
                    if (--all->missing > 0)
                        return;
                    all->sum.entries = all->sum.entries > 0 ? 1 : 0;
                    done(std::move(all->sum));
                });
            });
    }

private:
    /// By then no request decides by a former snapshot any more.
    static constexpr duration policy_memory = std::chrono::seconds(5);
    static constexpr duration housekeeping_period = std::chrono::seconds(1);

    static vm_record record_of(
        settings const& configured, std::uint64_t incarnation)
    {
        return {configured.vm, configured.data_centre, configured.peers_address,
            configured.callers_address, incarnation, vm_standing::starting,
            configured.cores, configured.link_mbps};
    }

    void keep_time()
    {
        timers_.run_due(now());
        if (now() - kept_house_at_ > housekeeping_period)
            keep_house();
        // New timers come up to a tick late, which no timer here minds.
        constexpr duration longest_wait = std::chrono::milliseconds(50);
        auto const due = timers_.next_due().value_or(now() + longest_wait);
        auto const wait =
            std::clamp<duration>(due - now(), duration::zero(), longest_wait);
        clock_.expires_after(wait);
        clock_.async_wait([this](asio::error_code ec) {
            if (!ec)
                keep_time();
        });
    }

    void keep_house()
    {
        kept_house_at_ = now();
        // Snapshots are freed here and not on a traffic thread, where
        // freeing a large one would hold up requests.
        auto const released = std::erase_if(old_policies_,
            [&](auto const& it) { return now() - it.first > policy_memory; });
        // A large snapshot leaves much memory that the allocator would keep.
        if (released > 0)
            malloc_trim(0);
        peers_.close_idle(now());
    }

    settings const& settings_;
    traffic_threads<Platform> const& traffic_;
    std::mt19937_64 random_;
    asio::io_context context_{1};
    asio::steady_timer clock_;
    timer_service timers_;
    curl_loop http_;
    typename Platform::store store_;
    peer_client peers_;
    std::vector<std::pair<time_point, policy_pointer>> old_policies_;
    time_point sent_read_at_{};
    time_point kept_house_at_{};
    control_plane<control_thread> plane_;
};

} // namespace pomelohinge

#endif
