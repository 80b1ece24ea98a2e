#ifndef POMELOHINGE_DRIVERS_PEERS_PEER_CLIENT_HPP
#define POMELOHINGE_DRIVERS_PEERS_PEER_CLIENT_HPP

#include "drivers/peers/generated/peers.grpc.pb.h"
#include "servers/exchange/sync.hpp"

#include <absl/container/flat_hash_map.h>
#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <grpcpp/generic/generic_stub.h>
#include <memory>
#include <string>

namespace pomelohinge {

/// Calls other VMs over gRPC. It may only be used on the thread of its context;
/// callbacks from gRPC's threads are posted to that context.
class peer_client
{
public:
    explicit peer_client(asio::io_context& context);
    /// Callbacks of calls that gRPC has not ended yet are dropped.
    ~peer_client();

    /// Sends a question to the VM at `address`. `done` is called once; if no
    /// readable reply was received in time, its argument has `reached` false.
    void sync(std::string const& address, sync_question const& question,
        std::function<void(sync_reply)> done);

    /// Closes channels that have been unused for longer than the idle timeout.
    void close_idle(time_point now);

    /// Cancels all calls and waits until gRPC has ended them, up to `grace`.
    /// Further calls fail. Can be called from any thread.
    void stop(std::chrono::milliseconds grace);

private:
    /// Returns replies as bytes: the generated stub reports success for one
    /// that cannot be parsed or is missing.
    using stub_type =
        grpc::TemplatedGenericStub<wire::SyncQuestion, grpc::ByteBuffer>;

    struct peer
    {
        std::unique_ptr<stub_type> stub;
        time_point created_at;
        time_point used_at;
    };

    struct call;
    class open_calls;

    stub_type& stub(std::string const& address);
    /// Returns the reply of a call that has ended; `reached` is false without
    /// one.
    sync_reply handle_end(
        std::string const& address, grpc::StatusCode code, call& ended);

    /// Drops the channel to a VM after a failed call, since its connection may
    /// be broken. One that may still be connecting outlives a call that has
    /// timed out, or calls with a short timeout would begin anew each time.
    void drop_channel(std::string const& address, grpc::StatusCode code);

    asio::io_context& context_;
    /// Shared with the callbacks, which may outlive this object.
    std::shared_ptr<open_calls> calls_;
    absl::flat_hash_map<std::string, peer> peers_;
};

} // namespace pomelohinge

#endif
