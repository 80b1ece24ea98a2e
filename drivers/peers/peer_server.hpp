#ifndef POMELOHINGE_DRIVERS_PEERS_PEER_SERVER_HPP
#define POMELOHINGE_DRIVERS_PEERS_PEER_SERVER_HPP

#include "servers/exchange/sync.hpp"

#include <absl/status/status.h>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace pomelohinge {

/// Answers a question of another VM. It is called on one of gRPC's threads and
/// may call the callback later, on any thread. A reply with `reached` false
/// refuses the question.
using sync_handler =
    std::function<void(sync_question, std::function<void(sync_reply)>)>;

/// Serves calls of other VMs over gRPC. The memory of questions without a reply
/// is limited; what exceeds it is refused, and the sender comes again later.
class peer_server
{
public:
    explicit peer_server(sync_handler handler);
    ~peer_server();

    /// Listens on `IP:PORT`. Returns `kUnavailable` if the address is in use,
    /// another error if it can never be bound.
    absl::Status listen(std::string const& address);

    /// Stops serving. Questions without a reply are refused, since nobody may
    /// be left to answer them; connections that still send a reply after
    /// `grace` are closed.
    void stop(std::chrono::milliseconds grace);

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
