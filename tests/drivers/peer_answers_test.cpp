#include "drivers/peers/peer_client.hpp"
#include "drivers/peers/peer_server.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <asio/executor_work_guard.hpp>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>

namespace pomelohinge {
namespace {

/// A client that asks several questions on one connection, and a server whose
/// replies name the configuration version of their question.
class peer_answers_test : public testing::Test
{
protected:
    using reply_function = std::function<void(sync_reply)>;

    void SetUp() override { ASSERT_TRUE(server_->listen(address_).ok()); }

    void TearDown() override
    {
        client_.stop(grace);
        server_->stop(grace);
    }

    std::shared_ptr<peer_server> make_server()
    {
        return std::make_shared<peer_server>(
            [this](sync_question const& question, reply_function reply) {
                std::lock_guard const lock(mutex_);
                asked_[question.configuration_version] = std::move(reply);
                changed_.notify_all();
            });
    }

    /// Asks a question and waits until the server has it.
    void ask(std::uint64_t version, duration long_poll_timeout)
    {
        sync_question question;
        question.configuration_version = version;
        question.long_poll_timeout = long_poll_timeout;
        client_.sync(address_, question, [this, version](sync_reply const& it) {
            answers_[version].push_back(
                it.reached ? it.configuration.version : 0);
        });
        std::unique_lock lock(mutex_);
        ASSERT_TRUE(changed_.wait_for(
            lock, limit, [&] { return asked_.contains(version); }));
    }

    void reply(std::uint64_t version)
    {
        std::unique_lock lock(mutex_);
        auto const answer = asked_[version];
        lock.unlock();
        sync_reply it;
        it.reached = true;
        it.configuration.version = version;
        answer(it);
    }

    /// Runs callbacks until `n` questions have an answer.
    void await_answers(std::size_t n)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (answers_.size() < n && std::chrono::steady_clock::now() < end)
            context_.run_one_for(limit);
        context_.run_for(grace);
    }

    using answer_list = std::vector<std::uint64_t>;

    static constexpr std::chrono::milliseconds grace{100};
    /// For slow machines.
    static constexpr std::chrono::seconds limit{10};

    std::string const address_ = loopback_address() + ":18099";
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        context_.get_executor()};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::uint64_t, reply_function> asked_;
    /// The versions in the answers to each question; 0 for no answer.
    std::map<std::uint64_t, answer_list> answers_;
    std::shared_ptr<peer_server> server_ = make_server();
    peer_client client_{context_};
};

TEST_F(peer_answers_test, replies_in_another_order_reach_their_questions)
{
    ask(1, limit);
    ask(2, limit);
    ask(3, limit);
    reply(3);
    reply(1);
    reply(2);
    await_answers(3);
    for (std::uint64_t n = 1; n <= 3; ++n)
        EXPECT_EQ(answers_[n], answer_list{n});
}

TEST_F(peer_answers_test, second_reply_to_a_question_does_not_answer_the_next)
{
    ask(1, limit);
    reply(1);
    await_answers(1);
    ask(2, limit);
    reply(1);
    context_.run_for(grace);
    EXPECT_EQ(answers_.count(2), 0u);
    reply(2);
    await_answers(2);
    EXPECT_EQ(answers_[1], answer_list{1});
    EXPECT_EQ(answers_[2], answer_list{2});
}

TEST_F(peer_answers_test, late_reply_does_not_answer_the_next_question)
{
    ask(1, duration::zero());
    await_answers(1);
    EXPECT_EQ(answers_[1], answer_list{0});
    ask(2, limit);
    reply(1);
    context_.run_for(grace);
    EXPECT_EQ(answers_.count(2), 0u);
    reply(2);
    await_answers(2);
    EXPECT_EQ(answers_[1], answer_list{0});
    EXPECT_EQ(answers_[2], answer_list{2});
}

TEST_F(peer_answers_test, reply_of_a_restarted_server_is_not_that_of_the_first)
{
    ask(1, limit);
    server_->stop(grace);
    await_answers(1);
    EXPECT_EQ(answers_[1], answer_list{0});
    auto const first = std::exchange(server_, make_server());
    ASSERT_TRUE(server_->listen(address_).ok());
    ask(2, limit);
    reply(1);
    reply(2);
    await_answers(2);
    EXPECT_EQ(answers_[1], answer_list{0});
    EXPECT_EQ(answers_[2], answer_list{2});
}

} // namespace
} // namespace pomelohinge
