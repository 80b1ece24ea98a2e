#ifndef POMELOHINGE_DRIVERS_PEERS_PEER_SERVER_HPP
#define POMELOHINGE_DRIVERS_PEERS_PEER_SERVER_HPP

#include "servers/exchange/sync.hpp"

#include <absl/status/status.h>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace pomelohinge {

/// Answers a question of another VM; called on one of gRPC's threads. The
/// reply may be given later, from any thread.
using sync_handler =
    std::function<void(sync_question, std::function<void(sync_reply)>)>;

/// Takes calls of other VMs over gRPC.
class peer_server
{
public:
    explicit peer_server(sync_handler handler);
    ~peer_server();

    /// Listens on `IP:PORT`.
    absl::Status listen(std::string const& address);

    /// Ends calls that are under way after `grace`.
    void stop(std::chrono::milliseconds grace);

private:
    class detail;
    std::unique_ptr<detail> detail_;
};

} // namespace pomelohinge

#endif
