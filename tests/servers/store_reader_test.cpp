#include "core/timer_service.hpp"
#include "servers/control/store_reader.hpp"

#include <gtest/gtest.h>
#include <set>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// A store whose watches can miss changes, whose history can be truncated and
/// which can be unavailable. It answers when the test advances the clock.
class fake_store
{
public:
    using action = std::function<void()>;

    explicit fake_store(manual_clock& clock) : clock_(clock) {}

    time_point now() const { return clock_.now(); }
    std::uint64_t random() { return random_; }

    std::optional<configuration> decode_configuration(
        std::string_view text, findings& found)
    {
        ++decodes_;
        if (text != "unreadable")
            return configuration();
        found.add({}, "", "unreadable");
        return std::nullopt;
    }

    void read_configuration(std::function<void(configuration_result)> done)
    {
        answer([this, done] {
            done({status_, {version_, std::make_shared<std::string>(text_)}});
        });
    }

    void list_targets(std::function<void(targets_result)> done)
    {
        answer([this, done] {
            done({targets_status_, {revision_, true, targets_, {}}});
        });
    }

    void watch_targets(std::uint64_t revision, duration timeout,
        std::function<void(targets_result)> done)
    {
        ++calls_;
        if (!watch_misses_changes_ && revision < history_since_)
            return schedule(answer_delay, [done] {
                done({store_status::history_gone, {}});
            });
        schedule(timeout, [this, done, revision] {
            // A watch that misses changes returns an empty result.
            targets_result result{status_, {revision_, false, {}, {}}};
            if (!watch_misses_changes_)
                for (auto const& it : targets_)
                    if (it.revision > revision &&
                        !missed_revisions_.contains(it.revision))
                        result.changes.put.push_back(it);
            done(result);
        });
    }

    void list_closures(std::function<void(closures_result)> done)
    {
        answer([this, done] { done({status_, {revision_, closed_}}); });
    }

    void list_rollouts(std::function<void(rollouts_result)> done)
    {
        answer([this, done] { done({status_, {revision_, orders_}}); });
    }

    /// Advances the clock to `end` and runs what becomes due.
    void run_until(time_point end, timer_service& timers)
    {
        while (clock_.now() < end) {
            clock_.advance(10ms);
            timers.run_due(clock_.now());
            for (auto it = queue_.begin();
                 it != queue_.end() && it->first <= clock_.now();
                 it = queue_.begin()) {
                auto const run = std::move(it->second);
                queue_.erase(it);
                run();
            }
        }
    }

    store_status status_ = store_status::done;
    /// Of lists of the targets.
    store_status targets_status_ = store_status::done;
    bool watch_misses_changes_ = false;
    std::uint64_t random_ = 0;
    /// Revisions that no watch returns.
    std::set<std::uint64_t> missed_revisions_;
    std::uint64_t history_since_ = 0;
    std::uint64_t revision_ = 10;
    std::uint64_t version_ = 1;
    std::string text_ = "text";
    std::vector<target_record> targets_;
    std::vector<data_centre_id> closed_;
    std::vector<rollout_order> orders_;
    int calls_ = 0;
    int decodes_ = 0;

private:
    static constexpr duration answer_delay = 10ms;

    void schedule(duration delay, action run)
    {
        queue_.emplace(clock_.now() + delay, std::move(run));
    }

    void answer(action run)
    {
        ++calls_;
        schedule(answer_delay, std::move(run));
    }

    manual_clock& clock_;
    std::multimap<time_point, action> queue_;
};

class store_reader_test : public testing::Test
{
protected:
    store_reader_test()
        : store_(clock_), reader_(store_, timers_, state_, [] {})
    {
    }

    void advance(duration span)
    {
        store_.run_until(clock_.now() + span, timers_);
    }

    void add_target(std::string name)
    {
        target_record it;
        it.id = target_id(std::move(name));
        it.revision = ++store_.revision_;
        if (store_.watch_misses_changes_)
            store_.missed_revisions_.insert(it.revision);
        store_.targets_.push_back(it);
    }

    manual_clock clock_;
    timer_service timers_;
    fleet_state state_;
    fake_store store_;
    store_reader<fake_store> reader_;
};

TEST_F(store_reader_test, change_is_read_within_its_time_bound)
{
    reader_.set_active(true);
    advance(5s);
    store_.version_ = 2;
    add_target("t");
    store_.closed_ = {data_centre_id("east")};
    advance(1s);
    EXPECT_EQ(state_.document().version, 2u);
    advance(1500ms);
    EXPECT_EQ(state_.targets().size(), 1u);
    EXPECT_EQ(state_.closures().closed.size(), 1u);
}

TEST_F(store_reader_test, change_that_a_watch_misses_is_found_by_a_list)
{
    reader_.set_active(true);
    advance(1s);
    store_.watch_misses_changes_ = true;
    add_target("t");
    store_.closed_ = {data_centre_id("east")};
    advance(2500ms);
    EXPECT_EQ(state_.closures().closed.size(), 1u);
    advance(3s);
    EXPECT_EQ(state_.targets().size(), 1u);
}

TEST_F(
    store_reader_test, change_missed_at_any_time_is_listed_within_three_seconds)
{
    reader_.set_active(true);
    for (std::size_t it = 0; it < 20; ++it) {
        advance(1730ms + it * 97ms);
        store_.watch_misses_changes_ = true;
        add_target("t" + std::to_string(it));
        advance(1s);
        store_.watch_misses_changes_ = false;
        advance(1800ms);
        EXPECT_EQ(state_.targets().size(), it + 1);
    }
}

/// Each answer to another call repeated the list that had failed, without a
/// pause.
TEST_F(store_reader_test, list_that_fails_is_repeated_with_the_configuration)
{
    store_.targets_status_ = store_status::unavailable;
    reader_.set_active(true);
    advance(1s);
    store_.calls_ = 0;
    advance(8s);
    EXPECT_LE(store_.calls_, 35);
    store_.targets_status_ = store_status::done;
    add_target("t");
    advance(1s);
    EXPECT_EQ(state_.targets().size(), 1u);
}

TEST_F(store_reader_test, history_gone_leads_to_a_list_at_once)
{
    reader_.set_active(true);
    advance(100ms);
    add_target("t");
    store_.history_since_ = store_.revision_;
    advance(2200ms);
    EXPECT_EQ(state_.targets().size(), 1u);
}

TEST_F(store_reader_test, store_that_recovers_is_read_within_two_seconds)
{
    reader_.set_active(true);
    advance(2s);
    store_.status_ = store_status::unavailable;
    advance(20s);
    EXPECT_FALSE(reader_.reached());
    auto const read_at = state_.read_at();
    store_.status_ = store_status::done;
    store_.version_ = 7;
    add_target("t");
    advance(2s);
    EXPECT_TRUE(reader_.reached());
    EXPECT_GT(state_.read_at(), read_at);
    EXPECT_EQ(state_.document().version, 7u);
    EXPECT_EQ(state_.targets().size(), 1u);
}

TEST_F(store_reader_test, closure_during_an_outage_is_read_soon_after_it)
{
    reader_.set_active(true);
    advance(2s);
    // A random number that gives the longest possible delays.
    store_.random_ = static_cast<std::uint64_t>(duration(1500ms).count()) - 1;
    for (int round = 0; round < 10; ++round) {
        store_.status_ = store_status::unavailable;
        advance(5s + round * 130ms);
        store_.status_ = store_status::done;
        store_.closed_ = {data_centre_id("dc-" + std::to_string(round))};
        ++store_.revision_;
        add_target("t" + std::to_string(round));
        // A VM counts as connected again after three seconds, and VMs get
        // changes from the reader within half a second.
        advance(2500ms);
        EXPECT_EQ(state_.closures().closed, store_.closed_) << round;
        EXPECT_EQ(state_.targets().size(), static_cast<std::size_t>(round) + 1);
    }
}

TEST_F(store_reader_test, calls_during_an_outage_stay_below_the_bound)
{
    reader_.set_active(true);
    advance(1s);
    store_.status_ = store_status::unavailable;
    advance(5s);
    auto const before = store_.calls_;
    advance(10s);
    EXPECT_LE(store_.calls_ - before, 25);
}

TEST_F(store_reader_test, calls_without_changes_stay_below_the_bound)
{
    reader_.set_active(true);
    advance(5s);
    auto const before = store_.calls_;
    advance(60s);
    // Bound for the whole fleet: eight calls per second.
    EXPECT_LE(store_.calls_ - before, 60 * 8);
}

TEST_F(store_reader_test, unreadable_configuration_keeps_the_previous_one)
{
    reader_.set_active(true);
    advance(1s);
    store_.version_ = 2;
    store_.text_ = "unreadable";
    auto const read_at = state_.read_at();
    advance(3s);
    EXPECT_EQ(state_.document().version, 1u);
    // The unreadable configuration may have withdrawn keys, so the previous
    // one no longer counts as recently read.
    EXPECT_LE(state_.read_at(), read_at + 1s);
}

/// Guards against a log line and a decoded document at every read.
TEST_F(store_reader_test, unreadable_configuration_is_reported_once)
{
    reader_.set_active(true);
    advance(1s);
    store_.version_ = 2;
    store_.text_ = "unreadable";
    auto const before = store_.decodes_;
    advance(10s);
    EXPECT_EQ(store_.decodes_, before + 1);
    store_.text_ = "text";
    advance(1s);
    EXPECT_EQ(state_.document().version, 2u);
}

TEST_F(store_reader_test, inactive_reader_makes_no_calls)
{
    reader_.set_active(true);
    advance(3s);
    reader_.set_active(false);
    advance(3s);
    auto const before = store_.calls_;
    advance(10s);
    EXPECT_EQ(store_.calls_, before);
}

} // namespace
} // namespace pomelohinge
