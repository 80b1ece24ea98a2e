#ifndef POMELOHINGE_DRIVERS_PEERS_PEER_SERVER_HPP
#define POMELOHINGE_DRIVERS_PEERS_PEER_SERVER_HPP

#include "servers/peers/messages.hpp"

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <string>

namespace pomelohinge {

/// Answers one call, from any thread.
template <class Reply>
using reply_function = std::function<void(Reply)>;

/// Who answers the calls of other VMs. Each is called on a thread of gRPC
/// and hands the work to the thread that owns it.
struct peer_handlers
{
    /// Returns what is to be called when the caller does not want the
    /// answer any more.
    std::function<std::function<void()>(
        dispatch_order, reply_function<dispatch_answer>)>
        dispatch;
    std::function<void(charge_question, reply_function<charge_reply>)> charge;
    std::function<void(record_question, reply_function<record_reply>)> record;
    std::function<void(poison_notice)> poison;
    std::function<void(sync_question, reply_function<sync_reply>)> sync;
    std::function<void(release_notice)> release;
    std::function<void(floor_question, reply_function<floor_reply>)> floor;
    std::function<void(reach_question, reply_function<reach_verdict>)> reach;
};

/// The gRPC server for other VMs.
class peer_server
{
public:
    explicit peer_server(peer_handlers handlers);
    ~peer_server();

    /// Listens on `address`.
    absl::Status listen(std::string const& address);

    /// Takes no further calls and ends those under way after `grace`.
    void stop(std::chrono::milliseconds grace);

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
