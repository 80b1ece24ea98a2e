#include "main/daemon.hpp"

#include "core/invariant.hpp"
#include "core/log.hpp"
#include "main/status_page.hpp"

#include <csignal>

namespace pomelohinge {
namespace {

/// Callers keep an entry answer for this long; until then some still come.
constexpr duration longest_linger = std::chrono::seconds(11);

constexpr duration work_poll = std::chrono::milliseconds(50);

/// gRPC ends the calls that are still under way after this.
constexpr std::chrono::milliseconds server_grace{200};

} // namespace

daemon::daemon(settings configured, chart_list rules)
    : settings_(std::move(configured)), rules_(std::move(rules)),
      control_(settings_, rules_, traffic_), peers_(make_handlers()),
      operators_(control_.context(),
          [this](
              operators_page page, std::function<void(operators_reply)> reply) {
              answer_page(page, std::move(reply));
          }),
      signals_(control_.context(), SIGTERM, SIGINT)
{
    for (std::int64_t it = 0; it < settings_.traffic_threads; ++it)
        traffic_.push_back(
            std::make_unique<traffic_thread>(settings_, rules_, traffic_,
                [this](target_id const& target, attempt_report const& report) {
                    control_.post([this, target, report] {
                        control_.plane().attempted(target, report);
                    });
                }));
}

daemon::~daemon() = default;

absl::Status daemon::run()
{
    if (auto status = peers_.listen(settings_.peers_address); !status.ok())
        return status;
    if (auto status = operators_.listen(settings_.operators_address);
        !status.ok())
        return status;
    for (auto const& it : traffic_)
        if (auto status = it->start(); !status.ok())
            return status;
    signals_.async_wait([this](asio::error_code ec, int) {
        if (!ec)
            begin_stop();
    });
    control_.start();
    control_.context().run();
    peers_.stop(server_grace);
    for (auto const& it : traffic_)
        it->stop();
    log(log_event::stopped, {{"vm", settings_.vm.text()}});
    return absl::OkStatus();
}

peer_handlers daemon::make_handlers()
{
    peer_handlers handlers;
    handlers.dispatch = [this](dispatch_order order,
                            reply_function<dispatch_answer> reply) {
        return dispatch(std::move(order), std::move(reply));
    };
    auto const owner_of = [this](std::string const& name) -> traffic_thread& {
        return *traffic_[thread_of(name, traffic_.size())];
    };
    handlers.charge = [owner_of](charge_question question,
                          reply_function<charge_reply> reply) {
        auto& owner = owner_of(question.organisation.text());
        owner.post(
            [&owner, question = std::move(question), reply = std::move(reply)] {
                reply(owner.organisations().charge(question));
            });
    };
    handlers.record = [owner_of](record_question question,
                          reply_function<record_reply> reply) {
        auto& owner = owner_of(question.record.organisation);
        owner.post(
            [&owner, question = std::move(question), reply = std::move(reply)] {
                owner.organisations().record(question, reply);
            });
    };
    handlers.poison = [owner_of](poison_notice notice) {
        auto& owner = owner_of(notice.organisation.text());
        owner.post([&owner, notice = std::move(notice)] {
            owner.organisations().note(notice);
        });
    };
    handlers.sync = [this](sync_question question,
                        reply_function<sync_reply> reply) {
        control_.post(
            [this, question = std::move(question), reply = std::move(reply)] {
                reply(control_.plane().answer_sync(question));
            });
    };
    handlers.release = [this](release_notice notice) {
        control_.post([this, notice = std::move(notice)] {
            control_.plane().released(notice);
        });
    };
    handlers.floor = [this](floor_question question,
                         reply_function<floor_reply> reply) {
        control_.post(
            [this, question = std::move(question), reply = std::move(reply)] {
                reply(control_.plane().answer_floor(question));
            });
    };
    handlers.reach = [this](reach_question question,
                         reply_function<reach_verdict> reply) {
        control_.post(
            [this, question = std::move(question), reply = std::move(reply)] {
                if (question.vm_address.empty())
                    return reply(reach_verdict::reached);
                control_.reach_vm(question.vm_address, reply);
            });
    };
    return handlers;
}

std::function<void()> daemon::dispatch(
    dispatch_order order, reply_function<dispatch_answer> reply)
{
    auto& owner = *traffic_[thread_of(order.target.text(), traffic_.size())];
    auto const id = std::make_shared<ticket>(0);
    owner.post([&owner, id, order = std::move(order),
                   reply = std::move(reply)]() mutable {
        *id = owner.targets().submit(std::move(order), std::move(reply));
    });
    return [&owner, id] {
        owner.post([&owner, id] { owner.targets().cancel(*id); });
    };
}

void daemon::collect_metrics(std::function<void(traffic_metrics const&)> done)
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

operators_reply daemon::status_page()
{
    return {200, "application/json",
        to_json(control_.plane().status(), settings_.vm, stopping_)};
}

void daemon::answer_page(
    operators_page page, std::function<void(operators_reply)> reply)
{
    constexpr int unavailable = 503;
    switch (page) {
    case operators_page::healthz:
        return reply({200, "text/plain", "ok\n"});
    case operators_page::readyz: {
        auto const status = control_.plane().status();
        bool const ready = status.phase == control_phase::serving;
        return reply({ready ? 200 : unavailable, "text/plain",
            std::string(to_name(status.phase)) + "\n"});
    }
    case operators_page::status:
        return reply(status_page());
    case operators_page::metrics:
        return collect_metrics([this, reply](traffic_metrics const& metrics) {
            reply({200, "text/plain; version=0.0.4",
                metrics.to_prometheus() +
                    control_metrics(control_.plane().status())});
        });
    case operators_page::histograms:
        return collect_metrics([reply](traffic_metrics const& metrics) {
            reply({200, "application/json", metrics.to_json()});
        });
    }
}

void daemon::begin_stop()
{
    if (std::exchange(stopping_, true))
        return;
    stop_deadline_ = control_.now() + settings_.stop_limit;
    control_.plane().leave([this] { linger(); });
    // While the store is away, nobody can be told.
    control_.after(settings_.stop_limit / 3, [this] { linger(); });
}

void daemon::linger()
{
    if (std::exchange(lingering_, true))
        return;
    for (auto const& it : traffic_)
        it->post([&thread = *it] {
            thread.callers().close_connections_after_answers();
        });
    auto const wait =
        std::min<duration>(longest_linger, settings_.stop_limit / 2);
    control_.after(wait, [this] {
        for (auto const& it : traffic_)
            it->post([&thread = *it] { thread.callers().stop_listening(); });
        await_end_of_work();
    });
}

void daemon::count_open_work(std::function<void(std::size_t)> done)
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

void daemon::await_end_of_work()
{
    count_open_work([this](std::size_t open) {
        if (open == 0 || control_.now() >= stop_deadline_)
            return leave_view();
        control_.after(work_poll, [this] { await_end_of_work(); });
    });
}

void daemon::leave_view()
{
    constexpr duration removal_limit = std::chrono::seconds(3);
    control_.plane().remove_self([this] { end(); });
    control_.after(removal_limit, [this] { end(); });
}

void daemon::end()
{
    if (std::exchange(ended_, true))
        return;
    operators_.stop();
    control_.context().stop();
}

} // namespace pomelohinge
