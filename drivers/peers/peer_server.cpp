#include "drivers/peers/peer_server.hpp"

#include "core/log.hpp"
#include "drivers/http/endpoint.hpp"
#include "drivers/peers/codec.hpp"
#include "drivers/peers/generated/peers.grpc.pb.h"
#include "drivers/peers/grpc_limits.hpp"
#include "drivers/peers/message_sizes.hpp"

#include <grpcpp/grpcpp.h>
#include <mutex>
#include <set>

namespace pomelohinge {
namespace {

/// gRPC closes connections whose keep-alive pings arrive more often than this.
constexpr int min_ping_interval_ms = 1000;

/// Period of the log event of refused questions.
constexpr duration log_period = std::chrono::seconds(1);

/// Binds a socket to the address for a moment, since gRPC does not tell why it
/// cannot listen.
absl::Status try_bind(std::string const& address)
{
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
        return absl::InvalidArgumentError(
            "\"" + address + "\" is not an IP:PORT");
    try {
        asio::io_context context;
        asio::ip::tcp::acceptor const acceptor(context, *endpoint, true);
        return absl::OkStatus();
    } catch (std::system_error const& error) {
        return listen_status(address, error);
    }
}

} // namespace

class peer_server::detail : public wire::Peer::CallbackService
{
public:
    explicit detail(sync_handler handler) : handler_(std::move(handler)) {}

    absl::Status listen(std::string const& address)
    {
        if (auto status = try_bind(address); !status.ok())
            return status;
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(
            address, grpc::InsecureServerCredentials(), &port);
        builder.SetMaxReceiveMessageSize(max_question_bytes);
        builder.SetMaxSendMessageSize(max_message_bytes);
        builder.AddChannelArgument(
            GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
            min_ping_interval_ms);
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
        refuse_questions();
        server_->Shutdown(std::chrono::system_clock::now() + grace);
        server_.reset();
    }

private:
    /// A question that has no reply yet.
    struct open_question
    {
        grpc::ServerUnaryReactor* reactor;
        wire::SyncReply* reply;
        /// Memory that counts for the limit.
        std::size_t bytes;
        sync_relation relation;
    };
    using question_pointer = std::shared_ptr<open_question>;

    grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* context,
        wire::SyncQuestion const* question, wire::SyncReply* reply) override
    {
        auto* const reactor = context->DefaultReactor();
        auto decoded = from_wire(*question);
        auto const it = std::make_shared<open_question>(open_question{
            reactor, reply, counted_bytes(*question), decoded.relation});
        if (auto const status = add(it); !status.ok())
            reactor->Finish(status);
        else
            handler_(std::move(decoded),
                [this, it](sync_reply const& answer) { finish(it, answer); });
        return reactor;
    }

    static grpc::Status refused()
    {
        return {grpc::StatusCode::UNAVAILABLE, "the VM starts or stops"};
    }

    static std::size_t counted_bytes(wire::SyncQuestion const& question)
    {
        auto const bytes = question.SpaceUsedLong();
        return bytes <= max_uncounted_question_bytes ? 0 : bytes;
    }

    /// Returns an error if the server stops or the open questions leave no
    /// room. A question that is the only one of its size always has room.
    grpc::Status add(question_pointer const& it)
    {
        std::lock_guard const lock(mutex_);
        if (stopping_)
            return refused();
        bool const has_room = it->bytes == 0 || open_bytes_ == 0 ||
            open_bytes_ + it->bytes <= max_open_question_bytes;
        if (!has_room)
            return refuse_for_room(it->bytes);
        open_bytes_ += it->bytes;
        open_.insert(it);
        return grpc::Status::OK;
    }

    grpc::Status refuse_for_room(std::size_t bytes)
    {
        ++refused_;
        auto const now = boottime_clock::now();
        if (now >= next_log_) {
            next_log_ = now + log_period;
            log(log_event::peer_messages_refused,
                {{"bytes", bytes}, {"held", open_bytes_},
                    {"limit", max_open_question_bytes}, {"refused", refused_}});
        }
        return {grpc::StatusCode::RESOURCE_EXHAUSTED,
            "too many questions are open"};
    }

    void finish(question_pointer const& it, sync_reply const& answer)
    {
        {
            std::lock_guard const lock(mutex_);
            if (open_.erase(it) == 0)
                return;
            open_bytes_ -= it->bytes;
        }
        if (!answer.reached)
            return it->reactor->Finish(refused());
        *it->reply = to_wire(answer, boottime_clock::now());
        if (it->relation == sync_relation::hub)
            count_remote_bytes(bytes_by_part(*it->reply));
        it->reactor->Finish(grpc::Status::OK);
    }

    void refuse_questions()
    {
        std::set<question_pointer> left;
        {
            std::lock_guard const lock(mutex_);
            stopping_ = true;
            left.swap(open_);
        }
        for (auto const& it : left)
            it->reactor->Finish(refused());
    }

    sync_handler handler_;
    std::unique_ptr<grpc::Server> server_;
    std::mutex mutex_;
    /// Guarded by the mutex, like the flag. gRPC ends only after each of them
    /// has been finished.
    std::set<question_pointer> open_;
    std::size_t open_bytes_ = 0;
    bool stopping_ = false;
    std::uint64_t refused_ = 0;
    time_point next_log_{};
};

peer_server::peer_server(sync_handler handler)
    : detail_(std::make_unique<detail>(std::move(handler)))
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
