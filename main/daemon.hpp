#ifndef POMELOHINGE_MAIN_DAEMON_HPP
#define POMELOHINGE_MAIN_DAEMON_HPP

#include "charts/chart_list.hpp"
#include "config/settings.hpp"
#include "drivers/operators/operators_port.hpp"
#include "drivers/peers/peer_server.hpp"
#include "main/control_thread.hpp"
#include "main/traffic_thread.hpp"

#include <absl/status/status.h>
#include <asio/signal_set.hpp>

namespace pomelohinge {

/// One VM's process: the control thread, the traffic threads and what
/// listens.
class daemon
{
public:
    daemon(settings configured, chart_list rules);
    ~daemon();

    /// Runs until a signal asks for the end and the planned stop is over.
    absl::Status run();

private:
    peer_handlers make_handlers();
    std::function<void()> dispatch(
        dispatch_order order, reply_function<dispatch_answer> reply);
    void answer_page(
        operators_page page, std::function<void(operators_reply)> reply);
    void collect_metrics(std::function<void(traffic_metrics const&)> done);
    operators_reply status_page();

    // The planned stop, step by step.
    void begin_stop();
    void linger();
    void await_end_of_work();
    void leave_view();
    void end();
    void count_open_work(std::function<void(std::size_t)> done);

    settings const settings_;
    chart_list const rules_;
    traffic_threads traffic_;
    control_thread control_;
    peer_server peers_;
    operators_port operators_;
    asio::signal_set signals_;
    bool stopping_ = false;
    bool lingering_ = false;
    bool ended_ = false;
    time_point stop_deadline_{};
};

} // namespace pomelohinge

#endif
