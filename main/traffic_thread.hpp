#ifndef POMELOHINGE_MAIN_TRAFFIC_THREAD_HPP
#define POMELOHINGE_MAIN_TRAFFIC_THREAD_HPP

#include "charts/chart_list.hpp"
#include "config/settings.hpp"
#include "core/timer_service.hpp"
#include "drivers/front/front.hpp"
#include "drivers/http/curl_loop.hpp"
#include "drivers/peers/peer_client.hpp"
#include "drivers/upstream/upstream_client.hpp"
#include "main/traffic_metrics.hpp"
#include "servers/dispatch/target_owner.hpp"
#include "servers/limits/organisation_owner.hpp"
#include "servers/requests/entry_request.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

namespace pomelohinge {

class traffic_thread;

/// All traffic threads of the daemon. Each target and each organisation
/// falls to one of them.
using traffic_threads = std::vector<std::unique_ptr<traffic_thread>>;

/// Position of the thread that a target or an organisation falls to.
std::size_t thread_of(std::string_view name, std::size_t threads);

/// One traffic thread: callers' connections, their requests, and the targets
/// and organisations that fall to it. All of it runs on this thread; others
/// come in by `post`.
class traffic_thread
{
public:
    using attempt_callback =
        std::function<void(target_id const&, attempt_report const&)>;

    traffic_thread(settings const& configured, chart_list const& rules,
        traffic_threads const& all, attempt_callback on_attempt);
    ~traffic_thread();

    /// Listens and starts the thread.
    absl::Status start();

    /// Ends the thread and waits for it.
    void stop();

    /// Runs `work` on this thread; safe from every thread.
    void post(std::function<void()> work);

    // On this thread.

    organisation_hand_over set_policy(policy_pointer next);
    void set_lease_end(time_point end) { lease_end_ = end; }
    organisation_owner<traffic_thread>& organisations()
    {
        return organisations_;
    }
    target_owner<traffic_thread>& targets() { return targets_; }
    front& callers() { return front_; }
    traffic_metrics& metrics() { return metrics_; }

    /// Requests that entered or are dispatched here and have not ended.
    std::size_t open_work() const
    {
        return front_.open_requests() + targets_.orders();
    }

    // What decisions need; see the concepts of servers/.

    time_point now() const { return std::chrono::steady_clock::now(); }
    policy_pointer const& current_policy() const { return policy_; }
    time_point lease_end() const { return lease_end_; }
    entry_state& state() { return entry_; }
    data_centre_id const& data_centre() const { return settings_.data_centre; }
    void ask_charge(vm_record const& vm, charge_question const& question,
        std::function<void(charge_reply)> done);
    void ask_record(vm_record const& vm, record_question const& question,
        std::function<void(record_reply)> done);
    void tell_poison(vm_record const& vm, poison_notice const& notice);
    std::uint64_t send_order(vm_record const& vm, dispatch_order order,
        std::function<void(dispatch_answer)> done);
    void cancel_order(std::uint64_t call);
    void after(duration wait, std::function<void()> run);
    std::uint64_t send_upstream(target_object const& target,
        dispatch_order const& order, std::function<void(attempt_end)> done);
    void cancel_upstream(std::uint64_t attempt) { upstreams_.cancel(attempt); }
    void report_attempt(target_id const& target, attempt_report const& report);

private:
    /// An order that this VM owns itself.
    struct local_order
    {
        traffic_thread* owner = nullptr;
        std::shared_ptr<ticket> id;
    };

    bool is_self(vm_record const& vm) const { return vm.vm == settings_.vm; }
    traffic_thread& owner_of(std::string_view name) const;
    std::function<void()> begin_request(
        entry_message message, std::function<void(entry_result)> done);
    std::variant<entry_answer, refusal> answer_entries(
        std::optional<key_hash> const& key);
    void send_local(std::uint64_t call, dispatch_order order,
        std::function<void(dispatch_answer)> done);
    void keep_time();
    void sweep();
    void run();

    settings const& settings_;
    chart_list const& rules_;
    traffic_threads const& all_;
    attempt_callback on_attempt_;

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::steady_timer clock_;
    timer_service timers_;
    timer_service::subscription sweep_timer_;
    unsigned sweeps_ = 0;

    curl_loop http_;
    upstream_client upstreams_;
    peer_client peers_;
    front front_;

    policy_pointer policy_;
    time_point lease_end_{};
    entry_state entry_;
    organisation_owner<traffic_thread> organisations_;
    target_owner<traffic_thread> targets_;
    traffic_metrics metrics_;

    std::uint64_t last_call_ = 0;
    absl::flat_hash_map<std::uint64_t, local_order> local_orders_;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> remote_orders_;
    std::thread thread_;
};

} // namespace pomelohinge

#endif
