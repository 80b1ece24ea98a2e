#include "drivers/peers/peer_client.hpp"

#include "core/log.hpp"
#include "drivers/peers/codec.hpp"
#include "drivers/peers/grpc_limits.hpp"
#include "drivers/peers/message_sizes.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <optional>
#include <set>

namespace pomelohinge {
namespace {

/// Channels that were not used for this time are closed.
constexpr duration idle_timeout = std::chrono::seconds(20);

/// Pause after a connection attempt that failed.
constexpr int min_pause_ms = 100;
constexpr int max_pause_ms = 1000;

/// Time that a connection attempt may take, up to the other VM's first frame.
/// It covers several round trips between regions and a VM that is short of
/// processor time.
constexpr int connect_timeout_ms = 2000;

grpc::ChannelArguments channel_arguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keep_alive_time_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keep_alive_timeout_ms);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_pause_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_pause_ms);
    // gRPC takes this for the timeout of an attempt, too.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connect_timeout_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    // With the global pool, a new channel would reuse the connection of an
    // earlier one, which may be broken.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetMaxSendMessageSize(max_message_bytes);
    return arguments;
}

} // namespace

/// gRPC uses the context, question and reply until it has called the callback.
struct peer_client::call
{
    grpc::ClientContext context;
    wire::SyncQuestion question;
    grpc::ByteBuffer reply;
};

namespace {

/// The method of `Peer` in peers.proto.
constexpr char const* sync_method = "/pomelohinge.wire.Peer/Sync";

/// Parses a reply. Returns nothing if there is none or it is not complete.
std::optional<wire::SyncReply> parse_reply(grpc::ByteBuffer& bytes)
{
    wire::SyncReply reply;
    if (!bytes.Valid() ||
        !grpc::SerializationTraits<wire::SyncReply>::Deserialize(&bytes, &reply)
             .ok())
        return std::nullopt;
    return reply;
}

} // namespace

/// The calls that gRPC has not ended yet. Thread-safe. A call holds its
/// channel, and gRPC's thread must not destroy the last channel: it would join
/// itself.
class peer_client::open_calls
    : public std::enable_shared_from_this<peer_client::open_calls>
{
public:
    explicit open_calls(asio::io_context& context) : context_(&context) {}

    /// Returns false if the client stops.
    bool add(std::shared_ptr<call> it)
    {
        std::lock_guard const lock(mutex_);
        return !stopping_ && calls_.insert(std::move(it)).second;
    }

    /// Removes a call and posts `work` with it.
    void end(call* ended, std::function<void(call&)> work)
    {
        std::lock_guard const lock(mutex_);
        auto const found = std::find_if(calls_.begin(), calls_.end(),
            [&](auto const& it) { return it.get() == ended; });
        if (context_ == nullptr)
            return;
        auto node = calls_.extract(found);
        asio::post(
            *context_, [work = std::move(work), it = std::move(node.value())] {
                work(*it);
            });
        ended_.notify_all();
    }

    void stop(std::chrono::milliseconds grace)
    {
        std::unique_lock lock(mutex_);
        stopping_ = true;
        for (auto const& it : calls_)
            it->context.TryCancel();
        ended_.wait_for(lock, grace, [this] { return calls_.empty(); });
    }

    /// Called when the client is destroyed. Calls that end later are leaked.
    void detach()
    {
        std::lock_guard const lock(mutex_);
        context_ = nullptr;
        if (!calls_.empty())
            leaked_ = shared_from_this();
    }

private:
    std::mutex mutex_;
    std::condition_variable ended_;
    asio::io_context* context_;
    std::set<std::shared_ptr<call>> calls_;
    bool stopping_ = false;
    std::shared_ptr<open_calls> leaked_;
};

peer_client::peer_client(asio::io_context& context)
    : context_(context), calls_(std::make_shared<open_calls>(context))
{
}

peer_client::~peer_client()
{
    calls_->detach();
}

peer_client::stub_type& peer_client::stub(std::string const& address)
{
    auto& it = peers_[address];
    auto const now = boottime_clock::now();
    if (it.stub == nullptr) {
        it.stub = std::make_unique<stub_type>(grpc::CreateCustomChannel(
            address, grpc::InsecureChannelCredentials(), channel_arguments()));
        it.created_at = now;
    }
    it.used_at = now;
    return *it.stub;
}

void peer_client::drop_channel(
    std::string const& address, grpc::StatusCode code)
{
    auto const it = peers_.find(address);
    // The connection to a VM that has no room is sound.
    if (it == peers_.end() || code == grpc::StatusCode::RESOURCE_EXHAUSTED)
        return;
    auto const age = boottime_clock::now() - it->second.created_at;
    if (code != grpc::StatusCode::DEADLINE_EXCEEDED ||
        age >= std::chrono::milliseconds(connect_timeout_ms))
        peers_.erase(it);
}

void peer_client::close_idle(time_point now)
{
    absl::erase_if(peers_,
        [&](auto const& it) { return now - it.second.used_at > idle_timeout; });
}

void peer_client::sync(std::string const& address,
    sync_question const& question, std::function<void(sync_reply)> done)
{
    auto owned = std::make_shared<call>();
    auto* const it = owned.get();
    it->question = to_wire(question);
    if (question.relation == sync_relation::hub)
        count_remote_bytes(bytes_by_part(it->question));
    it->context.set_deadline(std::chrono::system_clock::now() +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            question.long_poll_timeout + sync_reply_timeout));
    if (!calls_->add(std::move(owned)))
        return asio::post(context_, [done] { done(sync_reply{}); });
    stub(address).UnaryCall(&it->context, sync_method, {}, &it->question,
        &it->reply,
        [this, calls = calls_, it, address, done = std::move(done)](
            grpc::Status const& status) {
            calls->end(it,
                [this, address, code = status.error_code(), done](
                    call& ended) { done(handle_end(address, code, ended)); });
        });
}

sync_reply peer_client::handle_end(
    std::string const& address, grpc::StatusCode code, call& ended)
{
    if (code == grpc::StatusCode::OK) {
        if (auto reply = parse_reply(ended.reply))
            return from_wire(std::move(*reply), boottime_clock::now());
        log(log_event::peer_reply_unreadable, {{"peer", address}});
    }
    drop_channel(address, code);
    return {};
}

void peer_client::stop(std::chrono::milliseconds grace)
{
    calls_->stop(grace);
}

} // namespace pomelohinge
