#include "drivers/peers/peer_client.hpp"
#include "drivers/peers/peer_server.hpp"
#include "tests/drivers/delayed_relay.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <asio/executor_work_guard.hpp>
#include <future>
#include <gtest/gtest.h>
#include <optional>

namespace pomelohinge {
namespace {

constexpr std::chrono::milliseconds grace{100};
/// Far above `grace`, for slow machines.
constexpr std::chrono::seconds stop_limit{10};

/// A server whose questions stay open until the test answers them, and a client
/// that has asked one.
class peers_test : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(server_->listen(address_).ok());
        sync_question question;
        question.long_poll_timeout = std::chrono::seconds(60);
        client_->sync(address_, question, [this](sync_reply const& it) {
            reached_ = it.reached;
            ++replies_;
        });
        ASSERT_EQ(asked_.get_future().wait_for(stop_limit),
            std::future_status::ready);
    }

    /// Runs `stop` on a thread of its own; false if it does not return.
    static bool returns(std::function<void()> stop)
    {
        auto done = std::make_shared<std::promise<void>>();
        auto ended = done->get_future();
        std::thread([done, stop = std::move(stop)] {
            stop();
            done->set_value();
        }).detach();
        return ended.wait_for(stop_limit) == std::future_status::ready;
    }

    std::string const address_ = loopback_address() + ":18099";
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        context_.get_executor()};
    std::promise<void> asked_;
    std::function<void(sync_reply)> reply_;
    /// Not destroyed if they hang.
    std::shared_ptr<peer_server> server_ = std::make_shared<peer_server>(
        [this](sync_question const&, std::function<void(sync_reply)> reply) {
            reply_ = std::move(reply);
            asked_.set_value();
        });
    std::shared_ptr<peer_client> client_ =
        std::make_shared<peer_client>(context_);
    bool reached_ = false;
    int replies_ = 0;
};

TEST_F(peers_test, stop_of_server_with_question_that_nobody_answers_returns)
{
    auto const server = server_;
    ASSERT_TRUE(returns([server] { server->stop(grace); }));
    context_.run_one_for(stop_limit);
    EXPECT_EQ(replies_, 1);
    EXPECT_FALSE(reached_);
}

TEST_F(peers_test, reply_after_stop_of_server_is_ignored)
{
    auto const server = server_;
    ASSERT_TRUE(returns([server] { server->stop(grace); }));
    sync_reply late;
    late.reached = true;
    reply_(late);
    context_.run_one_for(stop_limit);
    EXPECT_FALSE(reached_);
}

TEST_F(peers_test, reply_of_server_that_stops_later_is_received)
{
    sync_reply answer;
    answer.reached = true;
    reply_(answer);
    context_.run_one_for(stop_limit);
    EXPECT_TRUE(reached_);
    auto const server = server_;
    EXPECT_TRUE(returns([server] { server->stop(grace); }));
}

TEST_F(peers_test, stop_of_client_with_open_call_ends_the_call)
{
    auto const client = client_;
    ASSERT_TRUE(returns([client] { client->stop(grace); }));
    context_.run_one_for(stop_limit);
    EXPECT_EQ(replies_, 1);
    EXPECT_FALSE(reached_);
    server_->stop(grace);
}

TEST_F(peers_test, call_that_ends_after_its_client_calls_nobody_back)
{
    client_.reset();
    server_->stop(grace);
    std::this_thread::sleep_for(grace);
    context_.run_for(grace);
    EXPECT_EQ(replies_, 0);
}

/// A client whose bytes to the server, and back, take `delay`.
class distant_peers_test : public testing::Test
{
protected:
    static constexpr std::chrono::milliseconds delay{200};

    void SetUp() override
    {
        ASSERT_TRUE(server_.listen(host_ + ":18097").ok());
    }

    void TearDown() override
    {
        client_.stop(grace);
        server_.stop(grace);
    }

    /// Whether the reply to a question comes within the timeout that `sync`
    /// gives to a question with this long poll timeout.
    bool reaches(duration long_poll_timeout)
    {
        sync_question question;
        question.long_poll_timeout = long_poll_timeout;
        std::optional<bool> reached;
        client_.sync(host_ + ":18096", question,
            [&](sync_reply const& it) { reached = it.reached; });
        while (!reached)
            context_.run_one();
        return *reached;
    }

    std::string const host_ = loopback_address();
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        context_.get_executor()};
    peer_server server_{
        [](sync_question const&, std::function<void(sync_reply)> reply) {
            sync_reply answer;
            answer.reached = true;
            reply(answer);
        }};
    delayed_relay relay_{{asio::ip::make_address(host_), 18096},
        {asio::ip::make_address(host_), 18097}, delay};
    peer_client client_{context_};
};

TEST_F(distant_peers_test, question_to_a_distant_vm_is_answered)
{
    EXPECT_TRUE(reaches(std::chrono::seconds(10)));
}

TEST_F(distant_peers_test,
    question_after_one_that_timed_out_on_a_new_channel_is_answered)
{
    reaches(duration::zero());
    EXPECT_TRUE(reaches(duration::zero()));
}

} // namespace
} // namespace pomelohinge
