#ifndef POMELOHINGE_MAIN_DAEMON_HPP
#define POMELOHINGE_MAIN_DAEMON_HPP

#include "drivers/peers/peer_server.hpp"
#include "main/address_claim.hpp"
#include "main/control_thread.hpp"
#include "main/operators_pages.hpp"
#include "main/process_signals.hpp"
#include "main/settings_watch.hpp"
#include "main/status_page.hpp"

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
          control_(settings_, traffic_), peer_server_(make_sync_handler()),
          operators_server_(control_.context(), make_page_handler()),
          readiness_server_(control_.context(), make_readiness_handler()),
          signals_(control_.context(), SIGTERM, SIGINT, SIGHUP),
          settings_watch_(control_.context(), std::move(file))
    {
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
        await_signal();
        unblock_signals();
        settings_watch_.start();
        for (auto const& it : traffic_)
            it->start();
        claim(daemon_address::operators, settings_.operators_address,
            [](absl::Status const&) {});
        claim_next(daemon_address::peers);
        control_.context().run();
        peer_server_.stop(grpc_shutdown_timeout);
        for (auto const& it : traffic_)
            it->stop();
        log(log_event::stopped,
            {{"vm", settings_.vm.text()}, {"open", open_at_end_}});
        return failure_;
    }

private:
    /// How long a stopping VM accepts new connections. Entry answers omit the
    /// VM at once, but callers may use an older answer for up to a few times
    /// the answer's time to live.
    static constexpr duration max_listen_after_leave = 3 * entry_time_to_live;

    /// Fraction of the stop timeout after which the process ends even if
    /// requests are still open.
    static constexpr double stop_deadline_fraction = 0.9;

    /// Time before the end of the process in which the last answers are
    /// written.
    static constexpr duration last_answer_time = std::chrono::milliseconds(100);

    /// Period at which a stopping VM checks whether all requests have ended.
    static constexpr duration open_requests_poll_period =
        std::chrono::milliseconds(50);

    /// Timeout after which gRPC cancels calls that have not finished.
    static constexpr std::chrono::milliseconds grpc_shutdown_timeout{50};

    friend class address_claim<daemon>;

    void after(duration delay, std::function<void()> work)
    {
        control_.after(delay, std::move(work));
    }

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
            if (stopping_)
                return;
            if (status.ok())
                return claim_next(next);
            failure_ = status;
            control_.context().stop();
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
        started_ = true;
        control_.start();
    }

    sync_handler make_sync_handler()
    {
        return [this](sync_question question,
                   std::function<void(sync_reply)> reply) {
            control_.post([this, question = std::move(question),
                              reply = std::move(reply)]() mutable {
                if (!started_)
                    return reply(sync_reply{});
                control_.plane().answer_sync(
                    std::move(question), std::move(reply));
            });
        };
    }

    void await_signal()
    {
        signals_.async_wait([this](asio::error_code ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP)
                settings_watch_.check();
            else
                begin_stop();
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
            return reply({200, "application/json",
                to_json(control_.plane().status(), settings_.vm, stopping_)});
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

    // Graceful shutdown.

    void begin_stop()
    {
        if (std::exchange(stopping_, true))
            return;
        log(log_event::stopping, {{"vm", settings_.vm.text()}});
        if (!started_)
            return control_.context().stop();
        stop_deadline_ = control_.now() +
            std::chrono::duration_cast<duration>(
                settings_.stop_timeout * stop_deadline_fraction);
        control_.plane().leave();
        auto const listen_time = std::min<duration>(
            max_listen_after_leave, settings_.stop_timeout / 2);
        planned_stop const stop{
            stop_deadline_ - last_answer_time, control_.now() + listen_time};
        for (auto const& it : traffic_)
            it->post([&thread = *it, stop] { thread.begin_stop(stop); });
        control_.after(listen_time, [this] {
            for (auto const& it : traffic_)
                it->post([&thread = *it] {
                    thread.server().stop_listening();
                    thread.stop_directory();
                });
            await_open_requests();
        });
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

    /// Ends the process once all requests have ended. New ones are refused
    /// before that, so that none starts in between.
    void await_open_requests()
    {
        count_open_requests([this](std::size_t open) {
            bool const ends = open == 0 && refuses_all_;
            if (ends || control_.now() >= stop_deadline_) {
                open_at_end_ = open;
                return control_.context().stop();
            }
            if (open == 0)
                refuse_all();
            control_.after(
                open_requests_poll_period, [this] { await_open_requests(); });
        });
    }

    void refuse_all()
    {
        refuses_all_ = true;
        for (auto const& it : traffic_)
            it->post([&thread = *it] { thread.refuse_requests(); });
    }

    settings const settings_;
    chart_list const charts_;
    traffic_threads<Platform> traffic_;
    control_thread<Platform> control_;
    peer_server peer_server_;
    page_server operators_server_;
    page_server readiness_server_;
    asio::signal_set signals_;
    settings_watch settings_watch_;
    /// All addresses but that of the operators are listened on.
    bool started_ = false;
    bool stopping_ = false;
    /// Why the daemon cannot run.
    absl::Status failure_;
    /// Requests are refused since all earlier ones have ended.
    bool refuses_all_ = false;
    time_point stop_deadline_{};
    /// Requests without an answer when the process ends.
    std::size_t open_at_end_ = 0;
};

} // namespace pomelohinge

#endif
