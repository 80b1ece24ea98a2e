#ifndef POMELOHINGE_DRIVERS_PEERS_PEER_CLIENT_HPP
#define POMELOHINGE_DRIVERS_PEERS_PEER_CLIENT_HPP

#include "drivers/peers/generated/peers.grpc.pb.h"
#include "servers/peers/messages.hpp"

#include <absl/container/flat_hash_map.h>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace pomelohinge {

/// Calls other VMs over gRPC. It belongs to one thread: callbacks are posted
/// to that thread's context, whichever of gRPC's threads they come from.
class peer_client
{
public:
    explicit peer_client(asio::io_context& context) : context_(context) {}
    ~peer_client();

    /// Sends an order; the number is for `cancel`.
    std::uint64_t dispatch(std::string const& address,
        dispatch_order const& order, std::function<void(dispatch_answer)> done);

    /// Tells the owner that the answer is not wanted any more.
    void cancel(std::uint64_t call);

    void charge(std::string const& address, charge_question const& question,
        std::function<void(charge_reply)> done);
    void record(std::string const& address, record_question const& question,
        std::function<void(record_reply)> done);
    void poison(std::string const& address, poison_notice const& notice);
    void sync(std::string const& address, sync_question const& question,
        std::function<void(sync_reply)> done);
    void release(std::string const& address, release_notice const& notice);
    void floor(std::string const& address, floor_question const& question,
        std::function<void(floor_reply)> done);
    void reach(std::string const& address, reach_question const& question,
        std::function<void(reach_verdict)> done);

    /// Drops connections that were not used for a while.
    void drop_idle(time_point now);

private:
    struct peer
    {
        std::unique_ptr<wire::Peer::Stub> stub;
        time_point used_at;
    };

    template <class Reply>
    struct call;

    wire::Peer::Stub& stub(std::string const& address);

    template <class Question, class Reply, class Method, class Done>
    std::shared_ptr<call<Reply>> start(std::string const& address,
        Question question, duration timeout, Method method, Done done);

    asio::io_context& context_;
    absl::flat_hash_map<std::string, peer> peers_;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<grpc::ClientContext>>
        dispatches_;
    std::uint64_t last_dispatch_ = 0;
};

} // namespace pomelohinge

#endif
