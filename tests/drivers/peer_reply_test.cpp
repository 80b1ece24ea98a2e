#include "drivers/peers/codec.hpp"
#include "drivers/peers/peer_client.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <asio/executor_work_guard.hpp>
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>
#include <random>

namespace pomelohinge {
namespace {

/// Answers each call with bytes that the test has set, or with none.
class raw_service : public grpc::CallbackGenericService
{
public:
    void set_reply(std::optional<std::string> bytes)
    {
        reply_ = std::move(bytes);
    }

    /// Makes each call end with a reset behind its reply, without a status.
    void cut_behind_reply() { is_cut_ = true; }

private:
    class call : public grpc::ServerGenericBidiReactor
    {
    public:
        call(grpc::GenericCallbackServerContext& context,
            std::optional<std::string> const& reply, bool is_cut)
            : context_(context), is_cut_(is_cut)
        {
            if (reply) {
                grpc::Slice const slice(*reply);
                reply_ = grpc::ByteBuffer(&slice, 1);
                has_reply_ = true;
            }
            StartRead(&question_);
        }

        void OnReadDone(bool) override
        {
            if (is_cut_)
                StartWrite(&reply_);
            else if (has_reply_)
                StartWriteAndFinish(&reply_, {}, grpc::Status::OK);
            else
                Finish(grpc::Status::OK);
        }

        void OnWriteDone(bool) override
        {
            if (!is_cut_)
                return;
            context_.TryCancel();
            Finish(grpc::Status::CANCELLED);
        }

        void OnDone() override { delete this; }

    private:
        grpc::GenericCallbackServerContext& context_;
        bool is_cut_;
        grpc::ByteBuffer question_;
        grpc::ByteBuffer reply_;
        bool has_reply_ = false;
    };

    grpc::ServerGenericBidiReactor* CreateReactor(
        grpc::GenericCallbackServerContext* context) override
    {
        return new call(*context, reply_, is_cut_);
    }

    std::optional<std::string> reply_;
    bool is_cut_ = false;
};

/// Replies whose bytes have changed on their way. A field that is lost has the
/// value zero, so the data of a hub would count as read a moment ago.
class peer_reply_test : public testing::Test
{
protected:
    static constexpr std::chrono::milliseconds grace{100};
    static constexpr std::chrono::seconds limit{10};
    static constexpr std::size_t mutations = 400;

    void SetUp() override
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address_, grpc::InsecureServerCredentials());
        builder.RegisterCallbackGenericService(&service_);
        server_ = builder.BuildAndStart();
        ASSERT_NE(server_, nullptr);
    }

    void TearDown() override
    {
        client_.stop(grace);
        server_->Shutdown(std::chrono::system_clock::now() + grace);
    }

    static std::string sound_reply()
    {
        sync_reply it;
        it.reached = true;
        it.configuration = {7, std::make_shared<std::string>("{}")};
        it.read_age = std::chrono::seconds(9);
        it.others.load = 12;
        return to_wire(it, time_point()).SerializeAsString();
    }

    sync_reply ask()
    {
        std::optional<sync_reply> reply;
        client_.sync(address_, sync_question(), [&](sync_reply it) {
            reply = std::move(it);
            context_.stop();
        });
        context_.restart();
        context_.run_for(limit);
        EXPECT_TRUE(reply);
        return reply.value_or(sync_reply());
    }

    std::string const address_ = loopback_address() + ":18099";
    raw_service service_;
    std::unique_ptr<grpc::Server> server_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        context_.get_executor()};
    peer_client client_{context_};
};

TEST_F(peer_reply_test, sound_reply_is_received)
{
    service_.set_reply(sound_reply());
    auto const reply = ask();
    EXPECT_TRUE(reply.reached);
    EXPECT_EQ(reply.read_age, std::chrono::seconds(9));
}

TEST_F(peer_reply_test, reply_that_cannot_be_parsed_is_not_used)
{
    // Ends within the length of the report, behind the version.
    auto bytes = sound_reply();
    bytes.resize(bytes.size() - 1);
    bytes.back() = '\xff';
    ASSERT_FALSE(wire::SyncReply().ParseFromString(bytes));
    service_.set_reply(bytes);
    EXPECT_FALSE(ask().reached);
}

/// All bytes of the reply have come, but not the status that ends the call.
TEST_F(peer_reply_test, reply_without_a_status_is_not_used)
{
    service_.set_reply(sound_reply());
    service_.cut_behind_reply();
    EXPECT_FALSE(ask().reached);
}

TEST_F(peer_reply_test, call_without_a_reply_has_not_reached_the_peer)
{
    service_.set_reply(std::nullopt);
    EXPECT_FALSE(ask().reached);
}

TEST_F(peer_reply_test, mutated_reply_is_used_only_if_it_can_be_parsed)
{
    std::minstd_rand random(1);
    std::size_t refused = 0;
    for (std::size_t n = 0; n < mutations; ++n) {
        auto bytes = sound_reply();
        for (auto changes = 1 + random() % 4; changes > 0; --changes)
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        bytes.resize(bytes.size() - random() % 3);
        bool const is_sound = wire::SyncReply().ParseFromString(bytes);
        refused += is_sound ? 0 : 1;
        service_.set_reply(bytes);
        EXPECT_EQ(ask().reached, is_sound);
    }
    EXPECT_GT(refused, mutations / 10);
}

} // namespace
} // namespace pomelohinge
