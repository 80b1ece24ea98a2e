#include "drivers/peers/peer_server.hpp"

#include "drivers/peers/codec.hpp"
#include "drivers/peers/generated/peers.grpc.pb.h"
#include "drivers/peers/grpc_limits.hpp"

#include <grpcpp/grpcpp.h>
#include <mutex>

namespace pomelohinge {
namespace {

/// Pings may come this often without being taken for an attack.
constexpr int shortest_ping_interval_ms = 1000;

/// Brings a cancellation to the work, whichever of both is there first. It
/// may outlive the call, which can end before its work is known here.
class cancellation
{
public:
    void set_work(std::function<void()> cancel)
    {
        std::lock_guard const lock(mutex_);
        if (cancelled_)
            cancel();
        else
            cancel_ = std::move(cancel);
    }

    void cancel()
    {
        std::lock_guard const lock(mutex_);
        cancelled_ = true;
        if (cancel_)
            cancel_();
    }

private:
    std::mutex mutex_;
    bool cancelled_ = false;
    std::function<void()> cancel_;
};

/// Answers a dispatch and passes its cancellation on.
class dispatch_reactor : public grpc::ServerUnaryReactor
{
public:
    dispatch_reactor(
        wire::DispatchAnswer& answer, std::shared_ptr<cancellation> cancelled)
        : answer_(answer), cancellation_(std::move(cancelled))
    {
    }

    void finish(dispatch_answer const& answer)
    {
        answer_ = to_wire(answer);
        Finish(grpc::Status::OK);
    }

    void OnCancel() override { cancellation_->cancel(); }

    void OnDone() override { delete this; }

private:
    wire::DispatchAnswer& answer_;
    std::shared_ptr<cancellation> cancellation_;
};

} // namespace

class peer_server::detail : public wire::Peer::CallbackService
{
public:
    explicit detail(peer_handlers handlers) : handlers_(std::move(handlers)) {}

    absl::Status listen(std::string const& address)
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(
            address, grpc::InsecureServerCredentials(), &port);
        builder.SetMaxReceiveMessageSize(largest_message_bytes);
        builder.SetMaxSendMessageSize(largest_message_bytes);
        builder.AddChannelArgument(
            GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
            shortest_ping_interval_ms);
        builder.AddChannelArgument(
            GRPC_ARG_KEEPALIVE_TIME_MS, keep_alive_time_ms);
        builder.AddChannelArgument(
            GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keep_alive_timeout_ms);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
        if (server_ == nullptr || port == 0)
            return absl::UnavailableError("cannot listen on " + address);
        return absl::OkStatus();
    }

    void stop(std::chrono::milliseconds grace)
    {
        if (server_ == nullptr)
            return;
        server_->Shutdown(std::chrono::system_clock::now() + grace);
        server_.reset();
    }

private:
    grpc::ServerUnaryReactor* Dispatch(grpc::CallbackServerContext*,
        wire::DispatchOrder const* order, wire::DispatchAnswer* answer) override
    {
        auto const cancelled = std::make_shared<cancellation>();
        auto* const reactor = new dispatch_reactor(*answer, cancelled);
        auto taken = from_wire(wire::DispatchOrder(*order));
        cancelled->set_work(handlers_.dispatch(std::move(taken),
            [reactor](dispatch_answer const& it) { reactor->finish(it); }));
        return reactor;
    }

    /// Answers a call that needs no cancellation.
    template <class Question, class WireReply, class Handler>
    grpc::ServerUnaryReactor* answer(grpc::CallbackServerContext* context,
        Question question, WireReply* reply, Handler const& handler)
    {
        auto* const reactor = context->DefaultReactor();
        handler(std::move(question), [reactor, reply](auto const& it) {
            *reply = to_wire(it);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    template <class Notice, class Handler>
    grpc::ServerUnaryReactor* take(grpc::CallbackServerContext* context,
        Notice notice, Handler const& handler)
    {
        auto* const reactor = context->DefaultReactor();
        handler(std::move(notice));
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor* Charge(grpc::CallbackServerContext* context,
        wire::ChargeQuestion const* question, wire::ChargeReply* reply) override
    {
        return answer(context, from_wire(*question), reply, handlers_.charge);
    }

    grpc::ServerUnaryReactor* Record(grpc::CallbackServerContext* context,
        wire::RecordQuestion const* question, wire::RecordReply* reply) override
    {
        return answer(context, from_wire(*question), reply, handlers_.record);
    }

    grpc::ServerUnaryReactor* Poison(grpc::CallbackServerContext* context,
        wire::PoisonNotice const* notice, wire::Nothing*) override
    {
        return take(context, from_wire(*notice), handlers_.poison);
    }

    grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* context,
        wire::SyncQuestion const* question, wire::SyncReply* reply) override
    {
        return answer(context, from_wire(*question), reply, handlers_.sync);
    }

    grpc::ServerUnaryReactor* Release(grpc::CallbackServerContext* context,
        wire::ReleaseNotice const* notice, wire::Nothing*) override
    {
        return take(context, from_wire(*notice), handlers_.release);
    }

    grpc::ServerUnaryReactor* Floor(grpc::CallbackServerContext* context,
        wire::FloorQuestion const* question, wire::FloorReply* reply) override
    {
        return answer(context, from_wire(*question), reply, handlers_.floor);
    }

    grpc::ServerUnaryReactor* Reach(grpc::CallbackServerContext* context,
        wire::ReachQuestion const* question, wire::ReachReply* reply) override
    {
        return answer(context, from_wire(*question), reply, handlers_.reach);
    }

    peer_handlers handlers_;
    std::unique_ptr<grpc::Server> server_;
};

peer_server::peer_server(peer_handlers handlers)
    : detail_(std::make_unique<detail>(std::move(handlers)))
{
}

peer_server::~peer_server() = default;

absl::Status peer_server::listen(std::string const& address)
{
    return detail_->listen(address);
}

void peer_server::stop(std::chrono::milliseconds grace)
{
    detail_->stop(grace);
}

} // namespace pomelohinge
