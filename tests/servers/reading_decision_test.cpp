#include "servers/control/reading_decision.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// Guards against a VM that reaches the store and goes on with an old
/// configuration, since its hubs reply but do not read the store any more.
class reading_decision_test : public testing::Test
{
protected:
    reading_decision_test()
    {
        conditions_.ready = true;
        decision_.start(clock_.now());
    }

    /// A hub replies now with data of a read `read_age` ago.
    void receive(duration read_age, std::uint64_t version = held_version)
    {
        sync_reply reply;
        reply.reached = true;
        reply.store_reached = true;
        reply.read_age = read_age;
        reply.configuration.version = version;
        decision_.note_reply(reply, held_version, clock_.now());
        decision_.note_hub_contact(clock_.now());
    }

    bool must_read_after(duration span)
    {
        clock_.advance(span);
        return decision_.must_read(conditions_, clock_.now());
    }

    static constexpr std::uint64_t held_version = 4;

    manual_clock clock_;
    reading_conditions conditions_;
    reading_decision decision_;
};

TEST_F(reading_decision_test, vm_with_recent_data_of_its_hub_does_not_read)
{
    for (int n = 0; n < 10; ++n) {
        receive(300ms);
        EXPECT_FALSE(must_read_after(1200ms));
    }
}

TEST_F(reading_decision_test, vm_whose_hub_is_silent_reads_within_two_seconds)
{
    receive(0ms);
    EXPECT_FALSE(must_read_after(1600ms));
    EXPECT_TRUE(must_read_after(100ms));
}

TEST_F(reading_decision_test, vm_whose_hub_does_not_read_reads_until_it_does)
{
    receive(0ms);
    for (int n = 1; n <= 8; ++n) {
        clock_.advance(200ms);
        receive(n * 200ms);
    }
    EXPECT_TRUE(must_read_after(100ms));
    receive(1800ms);
    EXPECT_TRUE(must_read_after(0ms));
    receive(10ms);
    EXPECT_FALSE(must_read_after(0ms));
}

TEST_F(reading_decision_test, reply_with_an_older_version_is_not_recent)
{
    receive(0ms);
    clock_.advance(1600ms);
    receive(0ms, held_version - 1);
    EXPECT_TRUE(must_read_after(100ms));
}

TEST_F(reading_decision_test, vm_without_data_reads_when_no_hub_replies)
{
    conditions_.ready = false;
    EXPECT_FALSE(must_read_after(0ms));
    EXPECT_FALSE(must_read_after(300ms));
    EXPECT_TRUE(must_read_after(200ms));
}

TEST_F(reading_decision_test, hub_with_stale_data_reads_for_its_members)
{
    receive(0ms);
    conditions_.serves_members = true;
    conditions_.read_age = 1500ms;
    EXPECT_TRUE(must_read_after(1500ms));
}

TEST_F(reading_decision_test, hub_of_the_first_data_centre_always_reads)
{
    receive(0ms);
    conditions_.reads_for_fleet = true;
    EXPECT_TRUE(must_read_after(0ms));
}

} // namespace
} // namespace pomelohinge
