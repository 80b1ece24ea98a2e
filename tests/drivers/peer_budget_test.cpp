#include "drivers/peers/peer_client.hpp"
#include "drivers/peers/peer_server.hpp"
#include "tests/drivers/loopback_address.hpp"

#include <grpc/grpc.h>
#include <gtest/gtest.h>
#include <mutex>

namespace pomelohinge {
namespace {

/// A hub whose control thread is late, so that questions of other VMs pile up.
/// Each is within the limit on one message; together they could exceed the
/// memory of the VM, which would end it.
class peer_budget_test : public testing::Test
{
protected:
    static constexpr std::size_t question_count = 16;
    static constexpr std::chrono::milliseconds grace{100};
    static constexpr std::chrono::seconds limit{20};

    /// Without another user, gRPC ends with each test and waits up to 10 s for
    /// connections that have been closed while they sent a large question.
    static void SetUpTestSuite() { grpc_init(); }

    void SetUp() override { ASSERT_TRUE(server_.listen(address_).ok()); }

    void TearDown() override
    {
        client_.stop(grace);
        server_.stop(grace);
    }

    /// A question with the reports on `targets` targets.
    static sync_question question(std::size_t targets)
    {
        sync_question it;
        it.from.vm = vm_id("vm-1");
        it.from.data_centre = data_centre_id("east");
        it.long_poll_timeout = limit;
        for (std::size_t n = 0; n < targets; ++n)
            it.report.targets[std::to_string(n) + std::string(name_bytes, 'n')]
                .answers = 1;
        return it;
    }

    void ask(sync_question const& it)
    {
        ++open_;
        client_.sync(address_, it, [this](sync_reply const& reply) {
            --open_;
            ++(reply.reached ? answered_ : refused_);
        });
    }

    std::size_t held()
    {
        std::lock_guard const lock(mutex_);
        return replies_.size();
    }

    void answer_all()
    {
        std::unique_lock lock(mutex_);
        auto const replies = std::exchange(replies_, {});
        lock.unlock();
        sync_reply answer;
        answer.reached = true;
        for (auto const& it : replies)
            it(answer);
    }

    template <class Condition>
    bool run_until(Condition condition)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context_.restart();
            context_.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    static constexpr std::size_t name_bytes = 1000;
    /// Together with its name, a question of about 6 MB.
    static constexpr std::size_t many_targets = 6000;

    std::string const address_ = loopback_address() + ":18099";
    asio::io_context context_;
    std::mutex mutex_;
    std::vector<std::function<void(sync_reply)>> replies_;
    peer_server server_{
        [this](sync_question const&, std::function<void(sync_reply)> reply) {
            std::lock_guard const lock(mutex_);
            replies_.push_back(std::move(reply));
        }};
    peer_client client_{context_};
    std::size_t open_ = 0;
    std::size_t answered_ = 0;
    std::size_t refused_ = 0;
};

TEST_F(peer_budget_test, large_questions_beyond_the_limit_are_refused)
{
    auto const large = question(many_targets);
    for (std::size_t n = 0; n < question_count; ++n)
        ask(large);
    ASSERT_TRUE(
        run_until([this] { return held() + refused_ == question_count; }));
    EXPECT_GE(held(), 2U);
    EXPECT_LE(held(), 6U);
}

TEST_F(peer_budget_test, small_question_is_answered_beside_refused_ones)
{
    auto const large = question(many_targets);
    for (std::size_t n = 0; n < question_count; ++n)
        ask(large);
    ASSERT_TRUE(
        run_until([this] { return held() + refused_ == question_count; }));
    ask(question(1));
    ASSERT_TRUE(
        run_until([this] { return held() + refused_ == question_count + 1; }));
    EXPECT_LE(refused_, question_count - 2);
    answer_all();
    ASSERT_TRUE(run_until([this] { return open_ == 0; }));
    EXPECT_EQ(answered_ + refused_, question_count + 1);
}

TEST_F(peer_budget_test, refused_question_is_accepted_once_there_is_room)
{
    auto const large = question(many_targets);
    for (std::size_t n = 0; n < question_count; ++n)
        ask(large);
    ASSERT_TRUE(
        run_until([this] { return held() + refused_ == question_count; }));
    auto const refused = refused_;
    EXPECT_GT(refused, 0U);
    answer_all();
    ASSERT_TRUE(run_until([this] { return open_ == 0; }));
    ask(large);
    ASSERT_TRUE(run_until([this] { return held() == 1; }));
    EXPECT_EQ(refused_, refused);
}

TEST_F(peer_budget_test, question_larger_than_any_sound_one_is_refused)
{
    constexpr std::size_t too_many = 3 * many_targets;
    ask(question(too_many));
    ASSERT_TRUE(run_until([this] { return held() + refused_ == 1; }));
    EXPECT_EQ(refused_, 1U);
}

} // namespace
} // namespace pomelohinge
