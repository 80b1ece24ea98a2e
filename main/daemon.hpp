#ifndef POMELOHINGE_MAIN_DAEMON_HPP
#define POMELOHINGE_MAIN_DAEMON_HPP

#include "drivers/peers/peer_server.hpp"
#include "main/control_thread.hpp"
#include "main/operators_pages.hpp"
#include "main/settings_watch.hpp"
#include "main/status_page.hpp"

#include <asio/signal_set.hpp>

namespace pomelohinge {

/// One VM's process: the control thread, the traffic threads and what
/// listens.
template <FleetPlatform Platform>
class daemon
{
public:
    daemon(settings configured, settings_file file, chart_list charts)
        : settings_(std::move(configured)), charts_(std::move(charts)),
          control_(settings_, traffic_), peers_(sync_handler_for()),
          operators_(control_.context(), page_handler()),
          readiness_(control_.context(), readiness_handler()),
          signals_(control_.context(), SIGTERM, SIGINT, SIGHUP),
          watch_(control_.context(), std::move(file))
    {
        for (std::int64_t it = 0; it < settings_.traffic_threads; ++it)
            traffic_.push_back(std::make_unique<traffic_thread<Platform>>(
                settings_, charts_, [this] {
                    control_.post(
                        [this] { control_.plane().report_failures(); });
                }));
    }

    /// Runs until a signal asks for the end and the planned stop is over.
    absl::Status run()
    {
        if (auto status = listen(); !status.ok())
            return status;
        await_signal();
        watch_.start();
        control_.start();
        control_.context().run();
        peers_.stop(server_grace);
        for (auto const& it : traffic_)
            it->stop();
        log(log_event::stopped, {{"vm", settings_.vm.text()}});
        return absl::OkStatus();
    }

private:
    /// A stopping VM is named to no caller any more; who holds an older
    /// answer may still come for some times its life.
    static constexpr duration longest_linger = 3 * entry_time_to_live;

    /// A stop ends no later than this part of the time it may take.
    static constexpr double stop_part = 0.9;

    static constexpr duration work_poll = std::chrono::milliseconds(50);

    /// gRPC ends the calls that are still under way after this.
    static constexpr std::chrono::milliseconds server_grace{50};

    absl::Status listen()
    {
        if (auto status = peers_.listen(settings_.peers_address); !status.ok())
            return status;
        if (auto status = operators_.listen(settings_.operators_address);
            !status.ok())
            return status;
        if (!settings_.readiness_address.empty())
            if (auto status = readiness_.listen(settings_.readiness_address);
                !status.ok())
                return status;
        for (std::size_t it = 0; it < traffic_.size(); ++it)
            if (auto status = traffic_[it]->start(it == 0); !status.ok())
                return status;
        return absl::OkStatus();
    }

    sync_handler sync_handler_for()
    {
        return [this](sync_question question,
                   std::function<void(sync_reply)> reply) {
            control_.post([this, question = std::move(question),
                              reply = std::move(reply)]() mutable {
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
                watch_.check();
            else
                begin_stop();
            await_signal();
        });
    }

    // Pages.

    page_server::handler page_handler()
    {
        return [this](std::string const& target,
                   std::function<void(page_reply)> reply) {
            answer_page(target, std::move(reply));
        };
    }

    page_server::handler readiness_handler()
    {
        return
            [this](std::string const&, std::function<void(page_reply)> reply) {
                reply(ready_page());
            };
    }

    page_reply ready_page()
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
            return reply(ready_page());
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
        struct collected
        {
            std::size_t missing;
            traffic_metrics sum;
        };
        auto const all = std::make_shared<collected>(
            collected{traffic_.size(), traffic_metrics()});
        for (auto const& it : traffic_)
            it->post([this, all, done, &thread = *it] {
                control_.post([all, done, copy = thread.metrics()] {
                    all->sum.add(copy);
                    if (--all->missing == 0)
                        done(all->sum);
                });
            });
    }

    // The planned stop, step by step.

    void begin_stop()
    {
        if (std::exchange(stopping_, true))
            return;
        log(log_event::stopping, {{"vm", settings_.vm.text()}});
        stop_deadline_ = control_.now() +
            std::chrono::duration_cast<duration>(
                settings_.stop_timeout * stop_part);
        control_.plane().leave();
        for (auto const& it : traffic_)
            it->post([&thread = *it] {
                thread.callers().close_connections_after_answers();
            });
        auto const wait =
            std::min<duration>(longest_linger, settings_.stop_timeout / 2);
        control_.after(wait, [this] {
            for (auto const& it : traffic_)
                it->post([&thread = *it] {
                    thread.callers().stop_listening();
                    thread.stop_directory();
                });
            await_end_of_work();
        });
    }

    void count_open_work(std::function<void(std::size_t)> done)
    {
        auto const sum = std::make_shared<std::size_t>(0);
        auto const missing = std::make_shared<std::size_t>(traffic_.size());
        for (auto const& it : traffic_)
            it->post([this, sum, missing, done, &thread = *it] {
                control_.post([sum, missing, done, n = thread.open_work()] {
                    *sum += n;
                    if (--*missing == 0)
                        done(*sum);
                });
            });
    }

    void await_end_of_work()
    {
        count_open_work([this](std::size_t open) {
            if (open == 0 || control_.now() >= stop_deadline_)
                return control_.context().stop();
            control_.after(work_poll, [this] { await_end_of_work(); });
        });
    }

    settings const settings_;
    chart_list const charts_;
    traffic_threads<Platform> traffic_;
    control_thread<Platform> control_;
    peer_server peers_;
    page_server operators_;
    page_server readiness_;
    asio::signal_set signals_;
    settings_watch watch_;
    bool stopping_ = false;
    time_point stop_deadline_{};
};

} // namespace pomelohinge

#endif
