#ifndef POMELOHINGE_MAIN_DAEMON_HPP
#define POMELOHINGE_MAIN_DAEMON_HPP

#include "core/thread_role.hpp"
#include "drivers/peers/peer_server.hpp"
#include "main/address_claim.hpp"
#include "main/control_thread.hpp"
#include "main/operators_pages.hpp"
#include "main/process_signals.hpp"
#include "main/settings_watch.hpp"
#include "main/status_page.hpp"
#include "servers/lifecycle/process_lifecycle.hpp"

#include <asio/signal_set.hpp>

namespace pomelohinge {

/// The process of one VM: the control thread, the traffic threads and the
/// servers for peers, operators and readiness checks.
template <FleetPlatform Platform>
class daemon
{
public:
    daemon(settings configured, settings_file file, chart_list charts)
        : settings_(std::move(configured)), charts_(std::move(charts)),
          control_(settings_, charts_, traffic_),
          lifecycle_(charts_.process, *this, settings_.stop_timeout),
          peer_server_(make_sync_handler()),
          operators_server_(control_.context(), make_page_handler()),
          readiness_server_(control_.context(), make_readiness_handler()),
          signals_(control_.context(), SIGTERM, SIGINT, SIGHUP),
          settings_watch_(control_.context(), std::move(file))
    {
        keep_signal_handlers();
        for (std::int64_t it = 0; it < settings_.traffic_threads; ++it)
            traffic_.push_back(std::make_unique<traffic_thread<Platform>>(
                settings_, charts_,
                [this] {
                    control_.post(
                        [this] { control_.plane().report_failures(); });
                },
                [this](auto const& target, auto const& notice) {
                    share_notice(target, notice);
                }));
    }

    /// Runs until SIGTERM or SIGINT is received and the graceful shutdown has
    /// ended. Returns an error if an address that callers or other VMs need can
    /// never be listened on.
    absl::Status run()
    {
        set_thread_role(thread_role::control);
        await_signal();
        unblock_signals();
        settings_watch_.start();
        for (auto const& it : traffic_)
            it->start();
        if (!settings_.operators_address.empty())
            claim(daemon_address::operators, settings_.operators_address,
                [](absl::Status const&) {});
        claim_next(daemon_address::peers);
        control_.context().run();
        log(log_event::stopped,
            {{"vm", settings_.vm.text()},
                {"open", lifecycle_.open_requests()}});
        return failure_;
    }

    /// Whether a step of the stop has not ended. The daemon must not be
    /// destroyed then, since a thread still uses it.
    bool is_abandoned() const { return abandoned_; }

    // Interface for the lifecycle; see `LifecycleEnvironment`.

    time_point now() const { return control_.now(); }
    void after(duration delay, std::function<void()> work)
    {
        control_.after(delay, std::move(work));
    }
    void announce_leave()
    {
        log(log_event::stopping, {{"vm", settings_.vm.text()}});
        control_.plane().leave();
    }
    void limit_requests(planned_stop const& stop)
    {
        for (auto const& it : traffic_)
            it->post([&thread = *it, stop] { thread.begin_stop(stop); });
    }
    void stop_listening()
    {
        for (auto const& it : traffic_)
            it->post([&thread = *it] {
                thread.server().stop_listening();
                thread.stop_directory();
            });
    }
    void refuse_requests()
    {
        for (auto const& it : traffic_)
            it->post([&thread = *it] { thread.refuse_requests(); });
    }
    void count_open_requests(std::function<void(std::size_t)> done)
    {
        auto const sum = std::make_shared<std::size_t>(0);
        auto const pending = std::make_shared<std::size_t>(traffic_.size());
        for (auto const& it : traffic_)
            it->post([this, sum, pending, done, &thread = *it] {
                control_.post([sum, pending, done, n = thread.open_requests()] {
                    *sum += n;
                    if (--*pending == 0)
                        done(*sum);
                });
            });
    }
    void close_peers(duration grace, std::function<void()> closed)
    {
        auto const limit =
            std::chrono::duration_cast<std::chrono::milliseconds>(grace);
        run_step(
            [this, limit] {
                // While the server is there, gRPC's threads are.
                control_.stop_calls(limit);
                peer_server_.stop(limit);
            },
            std::move(closed));
    }
    void stop_threads(std::function<void()> closed)
    {
        run_step(
            [this] {
                for (auto const& it : traffic_)
                    it->stop();
            },
            std::move(closed));
    }
    void step_expired(process_state step)
    {
        step_->detach();
        abandoned_ = true;
        log(log_event::stop_step_expired, {{"step", to_name(step)}});
    }
    void end() { control_.context().stop(); }

private:
    /// Tells all traffic threads what a target has said of itself to one.
    void share_notice(target_record const& target, target_notice const& notice)
    {
        for (auto const& it : traffic_)
            it->post([target, notice, &thread = *it] {
                thread.record_notice(target, notice);
            });
    }

    // Listening addresses.

    void claim(daemon_address which, std::string const& address,
        std::function<void(absl::Status)> done)
    {
        auto const it = std::make_shared<address_claim<daemon>>(*this, which,
            address, [this, which](std::function<void(absl::Status)> tried) {
                try_listen(which, std::move(tried));
            });
        it->start(std::move(done));
    }

    /// Claims the addresses one after the other. Only one process can hold that
    /// for peers, which it gives up last, so the connections of callers are not
    /// divided between this process and an earlier one that still stops.
    void claim_next(daemon_address which)
    {
        if (which == daemon_address::operators)
            return start_control();
        auto const next = static_cast<daemon_address>(index_of(which) + 1);
        auto const& address = address_of(which);
        if (address.empty())
            return claim_next(next);
        claim(which, address, [this, next](absl::Status const& status) {
            if (lifecycle_.state() != process_state::starting)
                return;
            if (status.ok())
                return claim_next(next);
            failure_ = status;
            lifecycle_.handle(process_event::start_failed);
        });
    }

    std::string const& address_of(daemon_address which) const
    {
        switch (which) {
        case daemon_address::peers:
            return settings_.peers_address;
        case daemon_address::readiness:
            return settings_.readiness_address;
        case daemon_address::callers:
            return settings_.callers_address;
        case daemon_address::directory:
            return settings_.directory_address;
        case daemon_address::operators:
            break;
        }
        return settings_.operators_address;
    }

    void try_listen(
        daemon_address which, std::function<void(absl::Status)> tried)
    {
        // Servers that a stop has closed must not be opened again.
        if (lifecycle_.is_stopping())
            return tried(absl::CancelledError("the process stops"));
        auto const& address = address_of(which);
        switch (which) {
        case daemon_address::peers:
            return tried(peer_server_.listen(address));
        case daemon_address::readiness:
            return tried(readiness_server_.listen(address));
        case daemon_address::operators:
            return tried(operators_server_.listen(address));
        case daemon_address::callers:
            return listen_for_callers(std::move(tried));
        case daemon_address::directory:
            return traffic_.front()->post(
                [this, tried = std::move(tried), &thread = *traffic_.front()] {
                    control_.post(
                        [tried, status = thread.listen_for_entry_questions()] {
                            tried(status);
                        });
                });
        }
    }

    void listen_for_callers(std::function<void(absl::Status)> tried)
    {
        auto const pending = std::make_shared<std::size_t>(traffic_.size());
        auto const sum = std::make_shared<absl::Status>();
        for (auto const& it : traffic_)
            it->post([this, pending, sum, tried, &thread = *it] {
                control_.post([pending, sum, tried,
                                  status = thread.listen_for_callers()] {
                    if (!status.ok())
                        *sum = status;
                    if (--*pending == 0)
                        tried(*sum);
                });
            });
    }

    /// From now on this VM is known to others and to callers.
    void start_control()
    {
        lifecycle_.handle(process_event::started);
        control_.start();
    }

    sync_handler make_sync_handler()
    {
        return [this](sync_question question,
                   std::function<void(sync_reply)> reply) {
            control_.post([this, question = std::move(question),
                              reply = std::move(reply)]() mutable {
                if (lifecycle_.state() == process_state::starting)
                    return reply(sync_reply{});
                control_.plane().answer_sync(
                    std::move(question), std::move(reply));
            });
        };
    }

    /// Asio restores the default action with its last signal set. This one is
    /// never destroyed, since other threads still take signals. It is created
    /// at the start, since a stop may find no descriptor left.
    static void keep_signal_handlers()
    {
        static auto* const context = new asio::io_context(1);
        static auto* const kept =
            new asio::signal_set(*context, SIGTERM, SIGINT, SIGHUP);
        static_cast<void>(kept);
    }

    void await_signal()
    {
        signals_.async_wait([this](asio::error_code ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP)
                settings_watch_.check();
            else
                lifecycle_.handle(process_event::stop_requested);
            await_signal();
        });
    }

    // Pages of the operators' and readiness ports.

    page_server::handler make_page_handler()
    {
        return [this](std::string const& target,
                   std::function<void(page_reply)> reply) {
            answer_page(target, std::move(reply));
        };
    }

    page_server::handler make_readiness_handler()
    {
        return
            [this](std::string const&, std::function<void(page_reply)> reply) {
                reply(make_readiness_page());
            };
    }

    page_reply make_readiness_page()
    {
        auto const standing = control_.plane().standing();
        constexpr int unavailable = 503;
        bool const ready = standing == vm_standing::serving;
        return {ready ? 200 : unavailable, "text/plain",
            std::string(to_name(standing)) + "\n"};
    }

    void answer_page(
        std::string const& target, std::function<void(page_reply)> reply)
    {
        auto const path = path_of(target);
        auto const page = path.starts_with('/')
            ? from_name<operators_page>(path.substr(1))
            : std::nullopt;
        if (!page)
            return reply({404, "text/plain", "there is no such page\n"});
        switch (*page) {
        case operators_page::healthz:
            return reply({200, "text/plain", "ok\n"});
        case operators_page::readyz:
            return reply(make_readiness_page());
        case operators_page::status:
            return collect_metrics([this, reply](traffic_metrics const& it) {
                reply({200, "application/json",
                    to_json(control_.plane().status(), settings_.vm,
                        lifecycle_.is_stopping(), it.transfers().shares)});
            });
        case operators_page::metrics:
            return collect_metrics([this, reply](traffic_metrics const& it) {
                reply({200, "text/plain; version=0.0.4",
                    it.to_prometheus() +
                        control_metrics(control_.plane().status())});
            });
        case operators_page::histograms:
            return collect_metrics([reply](traffic_metrics const& it) {
                reply({200, "application/json", it.to_json()});
            });
        }
    }

    void collect_metrics(std::function<void(traffic_metrics const&)> done)
    {
        struct collected_metrics
        {
            std::size_t pending;
            traffic_metrics sum;
        };
        auto const all = std::make_shared<collected_metrics>(
            collected_metrics{traffic_.size(), traffic_metrics()});
        for (auto const& it : traffic_)
            it->post([this, all, done, &thread = *it] {
                control_.post([all, done, copy = thread.metrics()] {
                    all->sum.add(copy);
                    if (--all->pending == 0)
                        done(all->sum);
                });
            });
    }

    /// Runs a step that blocks on a thread of its own, and calls `closed` on
    /// the control thread.
    void run_step(std::function<void()> step, std::function<void()> closed)
    {
        step_ = std::make_shared<std::thread>();
        *step_ = std::thread([this, step = std::move(step),
                                 closed = std::move(closed), running = step_] {
            set_thread_role(thread_role::stop_step);
            step();
            control_.post([closed, running] {
                if (running->joinable())
                    running->join();
                closed();
            });
        });
    }

    settings const settings_;
    chart_list const charts_;
    traffic_threads<Platform> traffic_;
    control_thread<Platform> control_;
    process_lifecycle<daemon> lifecycle_;
    peer_server peer_server_;
    page_server operators_server_;
    page_server readiness_server_;
    asio::signal_set signals_;
    settings_watch settings_watch_;
    /// Why the daemon cannot run.
    absl::Status failure_;
    /// The thread of the current step; detached when the step has expired.
    std::shared_ptr<std::thread> step_;
    bool abandoned_ = false;
};

} // namespace pomelohinge

#endif
