#ifndef POMELOHINGE_MAIN_TRAFFIC_THREAD_HPP
#define POMELOHINGE_MAIN_TRAFFIC_THREAD_HPP

#include "charts/chart_list.hpp"
#include "drivers/front/front_server.hpp"
#include "drivers/pages/page_server.hpp"
#include "drivers/upstream/upstream_client.hpp"
#include "main/fleet_platform.hpp"
#include "main/traffic_metrics.hpp"
#include "servers/requests/entry_request.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <thread>

namespace pomelohinge {

/// One traffic thread: callers' connections, their requests and the
/// connections to upstreams. All of it runs on this thread; others come in
/// by `post`.
template <FleetPlatform Platform>
class traffic_thread
{
public:
    /// `on_alarm` is called when a target turns bad, on this thread.
    traffic_thread(settings const& configured, chart_list const& rules,
        std::function<void()> on_alarm)
        : settings_(configured), rules_(rules), on_alarm_(std::move(on_alarm)),
          upstreams_(
              context_, static_cast<std::size_t>(configured.answer_body_bytes)),
          entry_(
              rules.target, configured.vm, configured.data_centre,
              std::random_device{}(),
              [this](std::string const& address) {
                  return upstreams_.is_connected(address);
              },
              configured.bounds),
          front_(context_, make_handlers(),
              front_limits{
                  static_cast<std::size_t>(configured.request_body_bytes)}),
          directory_(context_,
              [this](std::string const& target,
                  std::function<void(page_reply)> reply) {
                  reply(entry_page(target));
              }),
          tick_timer_(context_), work_(context_.get_executor())
    {
    }

    /// Listens and starts the thread. The first thread also answers entry
    /// questions at an address of their own, if there is one.
    absl::Status start(bool is_first)
    {
        if (auto status = front_.listen(settings_.callers_address);
            !status.ok())
            return status;
        if (is_first && !settings_.directory_address.empty())
            if (auto status = directory_.listen(settings_.directory_address);
                !status.ok())
                return status;
        tick();
        thread_ = std::thread([this] { context_.run(); });
        return absl::OkStatus();
    }

    /// Ends the thread and waits for it.
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    /// Runs `work` on this thread; safe from every thread.
    void post(std::function<void()> work)
    {
        asio::post(context_, std::move(work));
    }

    // On this thread.

    void set_policy(policy_pointer next)
    {
        policy_ = std::move(next);
        entry_.adopt(policy_, now());
    }
    void set_read_at(time_point at) { read_at_ = at; }
    void apply_report(traffic_report const& others)
    {
        entry_.apply_report(others, now());
    }
    traffic_report make_report() { return entry_.make_report(now()); }
    front_server<typename Platform::front_dialect>& callers() { return front_; }
    traffic_metrics& metrics() { return metrics_; }
    void stop_directory() { directory_.stop(); }

    /// Requests that are not answered yet.
    std::size_t open_work() const { return front_.open_requests(); }

    // What requests need; see `EntryEnvironment`.

    time_point now() const { return boottime_clock::now(); }
    std::int64_t unix_now_ms() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    policy_pointer const& current_policy() const { return policy_; }
    time_point read_at() const { return read_at_; }
    entry_state& state() { return entry_; }

    std::uint64_t send_upstream(target_record const& target,
        upstream_request request, std::function<void(attempt_end)> done)
    {
        return upstreams_.send(target, std::move(request),
            [this, done = std::move(done)](attempt_end end) {
                done(std::move(end));
                check_alarm();
            });
    }
    void cancel_upstream(std::uint64_t attempt) { upstreams_.cancel(attempt); }

    void after(duration wait, std::function<void()> run)
    {
        auto const timer = std::make_shared<asio::steady_timer>(context_, wait);
        timer->async_wait([timer, run = std::move(run)](asio::error_code ec) {
            if (!ec)
                run();
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
    using request = entry_request<traffic_thread>;

    /// How often what waits is looked at, and idle connections are swept.
    static constexpr duration busy_tick = std::chrono::milliseconds(50);
    static constexpr duration idle_tick = std::chrono::milliseconds(500);
    static constexpr duration sweep_period = std::chrono::seconds(1);

    /// The store is only reached for records when a request needs one.
    struct record_client
    {
        record_client(asio::io_context& context, std::string const& address)
            : http(context), records(http, address)
        {
        }

        curl_loop http;
        typename Platform::records records;
    };

    typename Platform::records& records()
    {
        if (records_ == nullptr)
            records_ = std::make_unique<record_client>(
                context_, settings_.platform_address);
        return records_->records;
    }

    front_handlers make_handlers()
    {
        front_handlers handlers;
        handlers.request = [this](incoming_request message,
                               std::function<void(entry_result)> done) {
            return begin_request(std::move(message), std::move(done));
        };
        handlers.entries = [this](data_centre_id const& asked) {
            return answer_entry_question(asked);
        };
        return handlers;
    }

    std::function<void()> begin_request(
        incoming_request message, std::function<void(entry_result)> done)
    {
        auto const began = now();
        auto const it = std::make_shared<std::shared_ptr<request>>();
        *it =
            std::make_shared<request>(rules_.request, *this, std::move(message),
                [this, began, it, done = std::move(done)](entry_result result) {
                    auto const ended = std::exchange(*it, nullptr);
                    auto const& seen = ended->statistics();
                    metrics_.ended(seen.organisation, seen.service, result,
                        now() - began, seen.upstream_time, seen.queue_time,
                        seen.attempts);
                    done(std::move(result));
                    // Destroyed once its own code has returned.
                    post([ended] {});
                });
        auto const started = *it;
        started->start();
        return [this, weak = std::weak_ptr(started), it] {
            if (auto const held = weak.lock()) {
                held->caller_disconnected();
                *it = nullptr;
                post([held] {});
            }
        };
    }

    entry_answer answer_entry_question(data_centre_id const& asked)
    {
        entry_answer answer;
        answer.time_to_live = entry_time_to_live;
        if (policy_ == nullptr)
            return answer;
        answer = answer_entries(
            *policy_->members, asked.empty() ? settings_.data_centre : asked);
        bool const alone =
            answer.addresses.empty() && policy_->ready && !policy_->leaving;
        if (alone)
            answer.addresses.push_back(settings_.callers_address);
        return answer;
    }

    page_reply entry_page(std::string const& target)
    {
        auto const asked = Platform::front_dialect::entry_question(target);
        if (!asked)
            return {404, "text/plain", "there is no such page\n"};
        auto const answer = answer_entry_question(*asked);
        if (answer.addresses.empty())
            return {503, "text/plain", "no VM is known to serve\n"};
        return {200, "application/json",
            Platform::front_dialect::encode_entry_answer(answer)};
    }

    void check_alarm()
    {
        if (entry_.targets.take_report_due())
            on_alarm_();
    }

    void tick()
    {
        auto const at = now();
        entry_.tick(at);
        check_alarm();
        if (at - swept_at_ >= sweep_period) {
            swept_at_ = at;
            upstreams_.close_expired();
        }
        bool const busy = front_.open_requests() > 0;
        tick_timer_.expires_after(busy ? busy_tick : idle_tick);
        tick_timer_.async_wait([this](asio::error_code ec) {
            if (!ec)
                tick();
        });
    }

    settings const& settings_;
    chart_list const& rules_;
    std::function<void()> on_alarm_;
    asio::io_context context_{1};
    upstream_client<typename Platform::upstream_dialect> upstreams_;
    entry_state entry_;
    traffic_metrics metrics_;
    policy_pointer policy_;
    time_point read_at_{};
    std::unique_ptr<record_client> records_;
    front_server<typename Platform::front_dialect> front_;
    page_server directory_;
    asio::steady_timer tick_timer_;
    time_point swept_at_{};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
};

/// All traffic threads of the daemon.
template <FleetPlatform Platform>
using traffic_threads = std::vector<std::unique_ptr<traffic_thread<Platform>>>;

} // namespace pomelohinge

#endif
