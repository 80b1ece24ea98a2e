#include "drivers/peers/peer_client.hpp"

#include "drivers/peers/codec.hpp"
#include "drivers/peers/grpc_limits.hpp"

#include <asio/post.hpp>
#include <grpcpp/grpcpp.h>

namespace pomelohinge {
namespace {

/// How long a call of each kind may take.
constexpr duration charge_timeout = std::chrono::milliseconds(400);
constexpr duration record_timeout = std::chrono::milliseconds(800);
constexpr duration sync_timeout = std::chrono::milliseconds(700);
constexpr duration notice_timeout = std::chrono::seconds(2);
constexpr duration reach_timeout = std::chrono::milliseconds(900);

/// Given to a dispatch beyond its own time, so that the owner's own answer
/// to a passed deadline still comes.
constexpr duration dispatch_allowance = std::chrono::milliseconds(200);

/// A channel that was not used for so long is closed.
constexpr duration idle_limit = std::chrono::seconds(60);

grpc::ChannelArguments channel_arguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keep_alive_time_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keep_alive_timeout_ms);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetMaxReceiveMessageSize(largest_message_bytes);
    arguments.SetMaxSendMessageSize(largest_message_bytes);
    return arguments;
}

/// A method of the stub; the overload that takes a callback.
template <class Question, class Reply>
using rpc_method = void (wire::Peer::Stub::async::*)(grpc::ClientContext*,
    Question const*, Reply*, std::function<void(grpc::Status)>);

/// Whether a failed call shows that the request never left this VM.
bool was_never_sent(grpc::Status const& status, grpc::ClientContext& context)
{
    // A call that was given to a connection carries that connection's peer,
    // which begins with its scheme; one that was not carries the target.
    constexpr std::string_view connected = "ipv4:";
    return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
        !std::string_view(context.peer()).starts_with(connected);
}

} // namespace

template <class Reply>
struct peer_client::call
{
    grpc::ClientContext context;
    Reply reply;
};

peer_client::~peer_client() = default;

wire::Peer::Stub& peer_client::stub(std::string const& address)
{
    auto& it = peers_[address];
    if (it.stub == nullptr)
        it.stub = wire::Peer::NewStub(grpc::CreateCustomChannel(
            address, grpc::InsecureChannelCredentials(), channel_arguments()));
    it.used_at = std::chrono::steady_clock::now();
    return *it.stub;
}

void peer_client::drop_idle(time_point now)
{
    absl::erase_if(peers_,
        [&](auto const& it) { return now - it.second.used_at > idle_limit; });
}

template <class Question, class Reply, class Method, class Done>
std::shared_ptr<peer_client::call<Reply>> peer_client::start(
    std::string const& address, Question question, duration timeout,
    Method method, Done done)
{
    // gRPC needs context, question and reply until its callback has come.
    auto it = std::make_shared<call<Reply>>();
    auto const kept = std::make_shared<Question>(std::move(question));
    it->context.set_deadline(std::chrono::system_clock::now() +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            timeout));
    auto finished = [this, it, kept, done = std::move(done)](
                        grpc::Status status) mutable {
        asio::post(context_,
            [it, status = std::move(status), done = std::move(done)]() {
                done(status, *it);
            });
    };
    (stub(address).async()->*method)(
        &it->context, kept.get(), &it->reply, std::move(finished));
    return it;
}

std::uint64_t peer_client::dispatch(std::string const& address,
    dispatch_order const& order, std::function<void(dispatch_answer)> done)
{
    auto const id = ++last_dispatch_;
    auto const it = start<wire::DispatchOrder, wire::DispatchAnswer>(address,
        to_wire(order), order.remaining + dispatch_allowance,
        static_cast<rpc_method<wire::DispatchOrder, wire::DispatchAnswer>>(
            &wire::Peer::Stub::async::Dispatch),
        [this, id, done = std::move(done)](
            grpc::Status const& status, auto& ended) {
            dispatches_.erase(id);
            if (status.ok())
                return done(from_wire(std::move(ended.reply)));
            dispatch_answer answer;
            answer.result = was_never_sent(status, ended.context)
                ? dispatch_outcome::unreachable
                : dispatch_outcome::lost;
            done(std::move(answer));
        });
    dispatches_.emplace(
        id, std::shared_ptr<grpc::ClientContext>(it, &it->context));
    return id;
}

void peer_client::cancel(std::uint64_t call)
{
    auto const it = dispatches_.find(call);
    if (it != dispatches_.end())
        it->second->TryCancel();
}

void peer_client::charge(std::string const& address,
    charge_question const& question, std::function<void(charge_reply)> done)
{
    start<wire::ChargeQuestion, wire::ChargeReply>(address, to_wire(question),
        charge_timeout,
        static_cast<rpc_method<wire::ChargeQuestion, wire::ChargeReply>>(
            &wire::Peer::Stub::async::Charge),
        [done = std::move(done)](grpc::Status const& status, auto& ended) {
            done(status.ok() ? from_wire(ended.reply) : charge_reply{});
        });
}

void peer_client::record(std::string const& address,
    record_question const& question, std::function<void(record_reply)> done)
{
    start<wire::RecordQuestion, wire::RecordReply>(address, to_wire(question),
        record_timeout,
        static_cast<rpc_method<wire::RecordQuestion, wire::RecordReply>>(
            &wire::Peer::Stub::async::Record),
        [done = std::move(done)](grpc::Status const& status, auto& ended) {
            done(status.ok() ? from_wire(ended.reply) : record_reply{});
        });
}

void peer_client::poison(
    std::string const& address, poison_notice const& notice)
{
    start<wire::PoisonNotice, wire::Nothing>(address, to_wire(notice),
        notice_timeout,
        static_cast<rpc_method<wire::PoisonNotice, wire::Nothing>>(
            &wire::Peer::Stub::async::Poison),
        [](grpc::Status const&, auto&) {});
}

void peer_client::sync(std::string const& address,
    sync_question const& question, std::function<void(sync_reply)> done)
{
    start<wire::SyncQuestion, wire::SyncReply>(address, to_wire(question),
        sync_timeout,
        static_cast<rpc_method<wire::SyncQuestion, wire::SyncReply>>(
            &wire::Peer::Stub::async::Sync),
        [done = std::move(done)](grpc::Status const& status, auto& ended) {
            done(status.ok() ? from_wire(ended.reply) : sync_reply{});
        });
}

void peer_client::release(
    std::string const& address, release_notice const& notice)
{
    start<wire::ReleaseNotice, wire::Nothing>(address, to_wire(notice),
        notice_timeout,
        static_cast<rpc_method<wire::ReleaseNotice, wire::Nothing>>(
            &wire::Peer::Stub::async::Release),
        [](grpc::Status const&, auto&) {});
}

void peer_client::floor(std::string const& address,
    floor_question const& question, std::function<void(floor_reply)> done)
{
    start<wire::FloorQuestion, wire::FloorReply>(address, to_wire(question),
        sync_timeout,
        static_cast<rpc_method<wire::FloorQuestion, wire::FloorReply>>(
            &wire::Peer::Stub::async::Floor),
        [done = std::move(done)](grpc::Status const& status, auto& ended) {
            done(status.ok() ? from_wire(ended.reply) : floor_reply{});
        });
}

void peer_client::reach(std::string const& address,
    reach_question const& question, std::function<void(reach_verdict)> done)
{
    start<wire::ReachQuestion, wire::ReachReply>(address, to_wire(question),
        reach_timeout,
        static_cast<rpc_method<wire::ReachQuestion, wire::ReachReply>>(
            &wire::Peer::Stub::async::Reach),
        [done = std::move(done)](grpc::Status const& status, auto& ended) {
            done(status.ok() ? from_wire(ended.reply)
                             : reach_verdict::not_asked);
        });
}

} // namespace pomelohinge
