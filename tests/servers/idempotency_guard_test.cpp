#include "servers/requests/idempotency_guard.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

/// Runs a guard against a store that answers as the test says.
class idempotency_guard_test : public testing::Test
{
public:
    // Interface for the guard; see `EntryEnvironment`.

    std::int64_t unix_now_ms() const { return now_ms_; }
    idempotency_guard_test& state() { return *this; }
    std::uint64_t random() { return ++last_random_; }
    void create_record(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        created_ = record;
        answer_ = std::move(done);
    }
    void write_record(idempotency_record const& record)
    {
        written_.push_back(record);
    }
    void remove_record(idempotency_record const& record)
    {
        removed_.push_back(record);
    }

protected:
    static constexpr fingerprint print = 7;

    void begin()
    {
        request_head head;
        head.idempotency_key = "order-1";
        admitted_request admitted;
        admitted.organisation = organisation_id("bathers");
        guard_.begin(*this, head, admitted, print,
            [this](record_outcome it) { outcome_ = it; });
    }

    std::int64_t now_ms_ = 1'000'000;
    std::uint64_t last_random_ = 0;
    idempotency_record created_;
    std::function<void(record_outcome, idempotency_record)> answer_;
    std::vector<idempotency_record> written_;
    std::vector<idempotency_record> removed_;
    record_outcome outcome_ = record_outcome::accepted;
    idempotency_guard<idempotency_guard_test> guard_;
};

/// A refusal as not run although the first request with the key was running.
TEST_F(idempotency_guard_test, request_whose_record_is_unavailable_may_have_run)
{
    begin();
    answer_(record_outcome::unavailable, {});
    EXPECT_EQ(outcome_, record_outcome::unavailable);
    auto const refused = refusal_for(outcome_);
    EXPECT_TRUE(refused.may_have_run);
    EXPECT_TRUE(refused.retry_after.has_value());
}

TEST_F(idempotency_guard_test, request_whose_record_is_unreadable_may_have_run)
{
    begin();
    answer_(record_outcome::unknown, {});
    EXPECT_EQ(outcome_, record_outcome::unknown);
    EXPECT_TRUE(refusal_for(outcome_).may_have_run);
}

TEST_F(idempotency_guard_test, equal_requests_have_records_that_differ)
{
    begin();
    auto const first = created_;
    begin();
    EXPECT_NE(created_.writer, first.writer);
}

TEST_F(idempotency_guard_test, record_created_after_the_request_is_removed)
{
    begin();
    guard_.finish(*this, record_state::started, {});
    EXPECT_TRUE(removed_.empty());
    auto created = created_;
    created.version = 41;
    answer_(record_outcome::accepted, created);
    ASSERT_EQ(removed_.size(), 1u);
    EXPECT_EQ(removed_[0].version, 41u);
    EXPECT_TRUE(written_.empty());
}

TEST_F(idempotency_guard_test, record_of_running_request_refuses_its_repeat)
{
    begin();
    auto first = created_;
    first.version = 41;
    answer_(record_outcome::running, first);
    EXPECT_EQ(outcome_, record_outcome::running);
    EXPECT_TRUE(refusal_for(outcome_).may_have_run);
    guard_.finish(*this, record_state::started, {});
    EXPECT_TRUE(removed_.empty());
    EXPECT_TRUE(written_.empty());
}

} // namespace
} // namespace pomelohinge
