#include "servers/buffers/buffer_budget.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace pomelohinge {
namespace {

class buffer_budget_test : public testing::Test
{
protected:
    static constexpr std::size_t total = 800;
    /// An eighth of the total.
    static constexpr std::size_t source_limit = 100;

    /// Grows a charge and counts in `woken_` when it has room after a wait.
    bool grow(buffer_charge& it, std::size_t bytes)
    {
        return it.grow(bytes, [this] { ++woken_; });
    }

    /// Fills the budget with complete messages, except for `left` bytes.
    void fill(std::size_t left)
    {
        for (std::size_t held = 0; held < total - left; held += 50) {
            auto it = budget_.open("filler");
            EXPECT_TRUE(
                grow(it, std::min<std::size_t>(50, total - left - held)));
            it.complete();
            held_.push_back(std::move(it));
        }
    }

    buffer_budget budget_{total};
    std::vector<buffer_charge> held_;
    int woken_ = 0;
};

TEST_F(buffer_budget_test, charge_is_returned_when_it_ends)
{
    {
        auto it = budget_.open("a");
        EXPECT_TRUE(grow(it, 30));
        EXPECT_TRUE(grow(it, 60));
        EXPECT_TRUE(grow(it, 40)) << "a charge does not shrink";
        EXPECT_EQ(budget_.usage().used_bytes, 60u);
        auto const moved = std::move(it);
        EXPECT_EQ(budget_.usage().used_bytes, 60u);
    }
    EXPECT_EQ(budget_.usage().used_bytes, 0u);
    EXPECT_EQ(budget_.usage().peak_bytes, 60u);
}

/// Guards against memory that grows with the number of faulty answers.
TEST_F(buffer_budget_test, messages_of_one_source_wait_at_its_limit)
{
    auto first = budget_.open("a");
    auto second = budget_.open("a");
    auto other = budget_.open("b");
    EXPECT_TRUE(grow(first, 60));
    EXPECT_FALSE(grow(second, 60));
    EXPECT_TRUE(grow(other, 60));
    EXPECT_EQ(budget_.usage().waits, 1u);
    first = {};
    EXPECT_EQ(woken_, 1);
    EXPECT_EQ(budget_.usage().used_bytes, 120u);
    EXPECT_TRUE(grow(second, 60)) << "the room is reserved for it";
}

TEST_F(buffer_budget_test, oldest_message_of_a_source_may_exceed_its_limit)
{
    auto first = budget_.open("a");
    auto second = budget_.open("a");
    EXPECT_TRUE(grow(first, source_limit * 3));
    EXPECT_FALSE(grow(second, 1));
    first = {};
    EXPECT_EQ(woken_, 1);
    EXPECT_TRUE(grow(second, source_limit * 3)) << "it is the oldest now";
}

TEST_F(buffer_budget_test, messages_of_many_sources_wait_at_the_total)
{
    fill(10);
    auto first = budget_.open("a");
    auto second = budget_.open("b");
    EXPECT_TRUE(grow(first, 50)) << "the oldest that is received";
    EXPECT_FALSE(grow(second, 11));
    held_.clear();
    EXPECT_EQ(woken_, 1);
}

TEST_F(buffer_budget_test, complete_message_keeps_its_bytes_but_not_its_place)
{
    auto first = budget_.open("a");
    auto second = budget_.open("a");
    EXPECT_TRUE(grow(first, source_limit));
    EXPECT_FALSE(grow(second, source_limit));
    first.complete();
    EXPECT_EQ(woken_, 1);
    EXPECT_EQ(budget_.usage().used_bytes, 2 * source_limit);
}

/// Each message that came to be the oldest exceeded the total once more.
TEST_F(buffer_budget_test, complete_messages_let_only_one_exceed_the_total)
{
    constexpr std::size_t bytes = 50;
    for (int it = 0; it < 50; ++it) {
        auto message = budget_.open("a");
        if (grow(message, bytes)) {
            message.complete();
            held_.push_back(std::move(message));
        }
    }
    EXPECT_LE(budget_.usage().used_bytes, total + bytes);
    held_.clear();
    auto next = budget_.open("a");
    EXPECT_TRUE(grow(next, total + bytes));
}

TEST_F(buffer_budget_test, message_that_ends_while_it_waits_is_not_woken)
{
    auto first = budget_.open("a");
    auto second = budget_.open("a");
    EXPECT_TRUE(grow(first, source_limit));
    EXPECT_FALSE(grow(second, 10));
    second = {};
    first = {};
    EXPECT_EQ(woken_, 0);
    EXPECT_EQ(budget_.usage().used_bytes, 0u);
}

TEST_F(buffer_budget_test, charge_without_a_budget_always_grows)
{
    buffer_charge it;
    EXPECT_FALSE(it);
    EXPECT_TRUE(grow(it, total * 2));
    it.complete();
}

/// Messages of random sizes and sources, some of which stall: the sum stays
/// within the total and one message, and none waits for ever.
class random_buffer_budget_test : public buffer_budget_test,
                                  public testing::WithParamInterface<unsigned>
{
protected:
    static constexpr std::size_t max_message = 200;

    struct arriving_message
    {
        buffer_charge charge;
        std::size_t bytes = 0;
        std::size_t size = 0;
    };

    void step(arriving_message& it)
    {
        constexpr std::size_t max_read = 20;
        auto const next =
            std::min<std::size_t>(it.size, it.bytes + 1 + random_() % max_read);
        if (grow(it.charge, next))
            it.bytes = next;
    }

    std::mt19937 random_{GetParam()};
};

TEST_P(random_buffer_budget_test, every_message_ends_and_the_total_holds)
{
    std::vector<arriving_message> messages;
    for (int it = 0; it < 200; ++it)
        messages.push_back({budget_.open(std::string(1, 'a' + random_() % 12)),
            0, 1 + random_() % max_message});
    constexpr int max_rounds = 10'000;
    for (int round = 0; round < max_rounds && !messages.empty(); ++round) {
        std::shuffle(messages.begin(), messages.end(), random_);
        for (auto& it : messages) {
            step(it);
            ASSERT_LE(budget_.usage().used_bytes, total + max_message);
        }
        std::erase_if(
            messages, [](auto const& it) { return it.bytes == it.size; });
    }
    EXPECT_TRUE(messages.empty());
    EXPECT_EQ(budget_.usage().used_bytes, 0u);
}

INSTANTIATE_TEST_SUITE_P(
    seeds, random_buffer_budget_test, testing::Range(1u, 21u));

} // namespace
} // namespace pomelohinge
