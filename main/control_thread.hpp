#ifndef POMELOHINGE_MAIN_CONTROL_THREAD_HPP
#define POMELOHINGE_MAIN_CONTROL_THREAD_HPP

#include "charts/chart_list.hpp"
#include "config/settings.hpp"
#include "core/timer_service.hpp"
#include "drivers/http/curl_loop.hpp"
#include "drivers/peers/peer_client.hpp"
#include "drivers/platform/http_object_store.hpp"
#include "drivers/platform/platform_client.hpp"
#include "drivers/upstream/upstream_client.hpp"
#include "main/traffic_thread.hpp"
#include "servers/control/control_plane.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <random>

namespace pomelohinge {

/// The control thread: everything that the control plane decides by and
/// acts through.
class control_thread
{
public:
    control_thread(settings const& configured, chart_list const& rules,
        traffic_threads const& traffic);

    asio::io_context& context() { return context_; }
    control_plane<control_thread>& plane() { return plane_; }

    /// Starts the plane; the caller then runs the context.
    void start();

    /// Runs `work` on this thread; safe from every thread.
    void post(std::function<void()> work);

    /// Runs `work` after a while, on this thread.
    void after(duration wait, std::function<void()> work);

    // What the control plane needs; see `ControlEnvironment`.

    time_point now() const { return std::chrono::steady_clock::now(); }
    std::uint64_t random() { return random_(); }
    void watch_store(
        std::uint64_t revision, std::function<void(store_changes)> done);
    void write_view(
        data_centre_view const& view, std::function<void(store_status)> done);
    void send_sync(std::string const& address, sync_question const& question,
        std::function<void(sync_reply)> done);
    void send_release(vm_record const& vm, release_notice const& notice);
    void send_floor(vm_record const& vm, floor_question const& question,
        std::function<void(floor_reply)> done);
    void ask_reach(vm_record const& vm, reach_question const& question,
        std::function<void(reach_verdict)> done);
    void publish(policy_pointer const& next, hand_over_callback done,
        std::function<void()> lost_are_idle);
    void take_over(organisation_hand_over taken);
    void set_limit(target_id const& target, std::size_t limit);
    void set_lease_end(time_point end);
    void probe_upstream(
        std::string const& address, std::function<void(bool)> done);

    /// Whether the VM at `address` answers; used for second opinions.
    void reach_vm(
        std::string const& address, std::function<void(reach_verdict)> done);

private:
    void keep_time();
    void release_old_policies();

    settings const& settings_;
    traffic_threads const& traffic_;
    std::mt19937_64 random_;
    asio::io_context context_;
    asio::steady_timer clock_;
    timer_service timers_;
    curl_loop http_;
    http_object_store store_;
    platform_client<http_object_store> platform_;
    upstream_client upstreams_;
    peer_client peers_;
    /// Snapshots are freed here and not on a traffic thread, where freeing a
    /// large one would hold up requests.
    std::vector<std::pair<time_point, policy_pointer>> old_policies_;
    time_point sent_lease_end_{};
    control_plane<control_thread> plane_;
};

} // namespace pomelohinge

#endif
