#ifndef POMELOHINGE_MAIN_TRAFFIC_THREAD_HPP
#define POMELOHINGE_MAIN_TRAFFIC_THREAD_HPP

#include "charts/chart_list.hpp"
#include "core/thread_role.hpp"
#include "drivers/front/front_server.hpp"
#include "drivers/pages/page_server.hpp"
#include "drivers/upstream/upstream_client.hpp"
#include "main/fleet_platform.hpp"
#include "main/traffic_metrics.hpp"
#include "servers/idempotency/remembered_records.hpp"
#include "servers/requests/entry_request.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <limits>
#include <sys/resource.h>
#include <thread>

namespace pomelohinge {

/// One traffic thread: the connections of callers, their requests and the
/// connections to upstreams. All of this runs on the thread itself; other
/// threads reach it through `post`.
template <FleetPlatform Platform>
class traffic_thread
{
public:
    using notice_callback =
        std::function<void(target_record const&, target_notice const&)>;

    /// `on_report_due` is called on this thread when a target starts to fail,
    /// so that the other VMs receive a report at once. `on_notice` is called on
    /// it with what a target says of itself, for the other threads.
    traffic_thread(settings const& configured, chart_list const& charts,
        std::function<void()> on_report_due, notice_callback on_notice)
        : settings_(configured), charts_(charts),
          on_report_due_(std::move(on_report_due)),
          on_notice_(std::move(on_notice)),
          buffers_(static_cast<std::size_t>(
              configured.buffer_bytes / configured.traffic_threads)),
          upstreams_(context_, buffers_,
              static_cast<std::size_t>(configured.answer_body_bytes)),
          entry_state_(
              charts.target, configured.vm, configured.data_centre,
              std::random_device{}(),
              [this](std::string const& address) {
                  return upstreams_.is_connected(address);
              },
              configured.bounds, configured.placement, configured.transfers),
          server_(context_, make_handlers(),
              front_limits{
                  static_cast<std::size_t>(configured.request_body_bytes),
                  max_connections(configured.traffic_threads),
                  static_cast<std::size_t>(
                      configured.buffer_bytes / configured.traffic_threads)}),
          directory_server_(context_,
              [this](std::string const& target,
                  std::function<void(page_reply)> reply) {
                  reply(make_entry_page(target));
              }),
          tick_timer_(context_), work_guard_(context_.get_executor())
    {
    }

    /// Starts the thread.
    void start()
    {
        tick();
        thread_ = std::thread([this] {
            set_thread_role(thread_role::traffic);
            context_.run();
        });
    }

    /// Stops the thread and joins it.
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    /// Runs `work` on this thread. Can be called from any thread.
    void post(std::function<void()> work)
    {
        asio::post(context_, std::move(work));
    }

    // The following functions may only be called on this thread.

    void set_policy(policy_pointer next)
    {
        policy_ = std::move(next);
        entry_state_.adopt(policy_, now());
        if (record_client_ != nullptr)
            record_client_->remembered.set_era(policy_->store);
    }
    void set_read_at(time_point at) { read_at_ = at; }
    /// Records what a target has said of itself to another thread.
    void record_notice(target_record const& target, target_notice const& notice)
    {
        entry_state_.targets.record_notice(target, notice, now());
    }
    void apply_report(traffic_report const& report)
    {
        entry_state_.apply_report(report, now());
    }
    traffic_report make_report() { return entry_state_.make_report(now()); }
    /// Listens for callers; a second call has no effect.
    absl::Status listen_for_callers()
    {
        if (listens_)
            return absl::OkStatus();
        auto status = server_.listen(settings_.callers_address);
        listens_ = status.ok();
        return status;
    }
    /// Listens for entry questions at `directory_address`.
    absl::Status listen_for_entry_questions()
    {
        return directory_server_.listen(settings_.directory_address);
    }
    /// The server that accepts the requests of callers.
    front_server<typename Platform::front_dialect>& server() { return server_; }
    traffic_metrics const& metrics()
    {
        auto const& requests = server_.buffers();
        metrics_.set_buffers(buffer_kind::answers, buffers_.usage());
        metrics_.set_buffers(buffer_kind::requests, requests.large());
        metrics_.set_buffers(buffer_kind::small_requests, requests.small());
        metrics_.set_buffer_refusals(requests.refused());
        auto const& spillover = entry_state_.spillover;
        metrics_.set_transfers({spillover.shares(), spillover.sent_requests(),
            spillover.sent_bytes()});
        return metrics_;
    }
    /// Refuses requests that the stop would cut, and closes each caller's
    /// connection behind its last answer.
    void begin_stop(planned_stop const& stop)
    {
        entry_state_.stop = stop;
        after(stop.ends_at - now(), [this] { end_requests(); });
        server_.close_connections_after_answers();
    }
    /// Refuses all further requests.
    void refuse_requests() { entry_state_.stop = {now(), now()}; }
    void stop_directory() { directory_server_.stop(); }

    /// The number of requests that have not been answered yet.
    std::size_t open_requests() const { return server_.open_requests(); }

    // Interface for requests; see `EntryEnvironment`.

    time_point now() const { return boottime_clock::now(); }
    std::int64_t unix_now_ms() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    policy_pointer const& current_policy() const { return policy_; }
    time_point read_at() const { return read_at_; }
    entry_state& state() { return entry_state_; }

    std::uint64_t send_upstream(target_record const& target,
        upstream_request request, std::function<void(attempt_end)> done)
    {
        return upstreams_.send(target, std::move(request),
            [this, target, done = std::move(done)](attempt_end end) {
                if (!end.notice.empty())
                    on_notice_(target, end.notice);
                done(std::move(end));
                notify_if_report_due();
            });
    }
    void cancel_upstream(std::uint64_t attempt) { upstreams_.cancel(attempt); }

    void after(duration delay, std::function<void()> work)
    {
        auto const timer =
            std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait([timer, work = std::move(work)](asio::error_code ec) {
            if (!ec)
                work();
        });
    }

    void create_record(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        records().create(record, std::move(done));
    }
    void write_record(idempotency_record const& record)
    {
        records().write(record);
    }
    void remove_record(idempotency_record const& record)
    {
        records().remove(record);
    }

private:
    using caller_request = entry_request<traffic_thread>;

    /// Period of `tick()`, which serves the wait queues, while requests are
    /// open.
    static constexpr duration busy_tick_period = std::chrono::milliseconds(50);
    /// Period of `tick()` while no request is open.
    static constexpr duration idle_tick_period = std::chrono::milliseconds(500);
    /// Period at which idle connections to upstreams are closed.
    static constexpr duration connection_cleanup_period =
        std::chrono::seconds(1);

    /// The client for idempotency records in the store. It is created when
    /// the first request needs it.
    struct record_client
    {
        record_client(asio::io_context& context, std::string const& address)
            : http(context), records(http, address),
              remembered(records, [] { return boottime_clock::now(); })
        {
        }

        curl_loop http;
        typename Platform::records records;
        remembered_records<typename Platform::records> remembered;
    };

    remembered_records<typename Platform::records>& records()
    {
        if (record_client_ == nullptr) {
            record_client_ = std::make_unique<record_client>(
                context_, settings_.platform_address);
            if (policy_ != nullptr)
                record_client_->remembered.set_era(policy_->store);
        }
        return record_client_->remembered;
    }

    /// Callers' connections per thread. The rest of the descriptors that the
    /// process may open is kept for targets, peers, the store and closes.
    static std::size_t max_connections(std::int64_t threads)
    {
        constexpr rlim_t callers_part = 2;
        rlimit limit{};
        if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
            limit.rlim_cur == RLIM_INFINITY)
            return std::numeric_limits<std::size_t>::max();
        return std::max<std::size_t>(
            limit.rlim_cur / callers_part / static_cast<rlim_t>(threads), 1);
    }

    front_handlers make_handlers()
    {
        front_handlers handlers;
        handlers.request = [this](incoming_request message,
                               std::function<void(entry_result)> done) {
            return begin_request(std::move(message), std::move(done));
        };
        handlers.is_repeatable = [this](request_head const& head) {
            return policy_ == nullptr ||
                policy_->index->routes.is_repeatable(head);
        };
        handlers.entries = [this](data_centre_id const& requested) {
            return make_entry_answer(requested);
        };
        return handlers;
    }

    /// Starts a request, which stays alive until it has ended. Returns the
    /// function to call if the caller disconnects.
    std::function<void()> begin_request(
        incoming_request message, std::function<void(entry_result)> done)
    {
        auto const started_at = now();
        auto const number = ++last_request_;
        auto const started = std::make_shared<caller_request>(charts_.request,
            *this, std::move(message),
            [this, started_at, number, done](entry_result result) {
                auto const open = open_requests_.extract(number);
                // The caller has disconnected.
                if (!open)
                    return;
                auto const finished = open.mapped();
                auto const& statistics = finished->statistics();
                metrics_.record_request(statistics.organisation,
                    statistics.service, result, now() - started_at,
                    statistics.upstream_time, statistics.queue_time,
                    statistics.attempts);
                done(std::move(result));
                // This runs inside the request's own code, so the request
                // is destroyed only after that code has returned.
                post([finished] {});
            });
        open_requests_.emplace(number, started);
        started->start();
        return [this, number, done = std::move(done)] {
            if (cancel_request(number))
                done(refusal{refusal_kind::upstream_failed, outcome::unknown,
                    "cancelled, since the caller has shut down its side of the "
                    "connection",
                    {}});
        };
    }

    /// Cancels a request whose caller has closed its side of the connection.
    /// Returns false if the request runs to its end.
    bool cancel_request(std::uint64_t number)
    {
        auto const it = open_requests_.find(number);
        if (it == open_requests_.end())
            return false;
        auto const request = it->second;
        request->caller_disconnected();
        if (!request->ended())
            return false;
        open_requests_.erase(number);
        post([request] {});
        return true;
    }

    /// Gives the requests that are still open their answers, since the process
    /// ends.
    void end_requests()
    {
        for (auto const& [number, it] : std::map(open_requests_))
            it->process_ends();
    }

    entry_answer make_entry_answer(data_centre_id const& requested)
    {
        entry_answer answer;
        answer.time_to_live = entry_time_to_live;
        if (policy_ == nullptr)
            return answer;
        answer = answer_entries(*policy_->members,
            requested.empty() ? settings_.data_centre : requested);
        // If no entry is listed, a VM that is ready returns its own address.
        bool const lists_itself =
            answer.addresses.empty() && policy_->ready && !policy_->leaving;
        if (lists_itself)
            answer.addresses.push_back(settings_.callers_address);
        return answer;
    }

    page_reply make_entry_page(std::string const& target)
    {
        auto const requested = Platform::front_dialect::entry_question(target);
        if (!requested)
            return {404, "text/plain", "there is no such page\n"};
        auto const answer = make_entry_answer(*requested);
        if (answer.addresses.empty())
            return {503, "text/plain", "no VM is known to serve\n"};
        return {200, "application/json",
            Platform::front_dialect::encode_entry_answer(answer)};
    }

    void notify_if_report_due()
    {
        if (entry_state_.targets.take_report_due())
            on_report_due_();
    }

    /// Runs the periodic work: wait queues, maintenance of the entry state and
    /// closing of idle connections.
    void tick()
    {
        auto const at = now();
        entry_state_.tick(at);
        server_.check_accepting();
        notify_if_report_due();
        if (record_client_ != nullptr)
            record_client_->remembered.tick();
        if (at - last_connection_cleanup_at_ >= connection_cleanup_period) {
            last_connection_cleanup_at_ = at;
            upstreams_.close_expired();
        }
        bool const busy = server_.open_requests() > 0;
        tick_timer_.expires_after(busy ? busy_tick_period : idle_tick_period);
        tick_timer_.async_wait([this](asio::error_code ec) {
            if (!ec)
                tick();
        });
    }

    settings const& settings_;
    chart_list const& charts_;
    std::function<void()> on_report_due_;
    notice_callback on_notice_;
    /// Outlives the sockets, whose answers hold charges.
    buffer_budget buffers_;
    asio::io_context context_{1};
    upstream_client<typename Platform::upstream_dialect> upstreams_;
    entry_state entry_state_;
    traffic_metrics metrics_;
    policy_pointer policy_;
    time_point read_at_{};
    std::unique_ptr<record_client> record_client_;
    std::uint64_t last_request_ = 0;
    std::map<std::uint64_t, std::shared_ptr<caller_request>> open_requests_;
    front_server<typename Platform::front_dialect> server_;
    bool listens_ = false;
    page_server directory_server_;
    asio::steady_timer tick_timer_;
    time_point last_connection_cleanup_at_{};
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    std::thread thread_;
};

/// All traffic threads of the daemon.
template <FleetPlatform Platform>
using traffic_threads = std::vector<std::unique_ptr<traffic_thread<Platform>>>;

} // namespace pomelohinge

#endif
