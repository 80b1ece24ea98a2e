#include "core/timer_service.hpp"
#include "servers/control/store_reader.hpp"

#include <gtest/gtest.h>
#include <set>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// A store whose watches can be deaf, whose history can be gone and which
/// can be away. Answers come when the test lets time pass.
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
            done({status_, {revision_, true, targets_, {}}});
        });
    }

    void watch_targets(std::uint64_t revision, duration wait,
        std::function<void(targets_result)> done)
    {
        ++calls_;
        if (!deaf_ && revision < history_since_)
            return later(answer_time, [done] {
                done({store_status::history_gone, {}});
            });
        later(wait, [this, done, revision] {
            // A deaf watch says that nothing changed.
            targets_result reading{status_, {revision_, false, {}, {}}};
            if (!deaf_)
                for (auto const& it : targets_)
                    if (it.revision > revision &&
                        !unheard_.contains(it.revision))
                        reading.changes.put.push_back(it);
            done(reading);
        });
    }

    void list_closures(std::function<void(closures_result)> done)
    {
        answer([this, done] { done({status_, {revision_, closed_}}); });
    }

    /// Runs what is due up to then.
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
    bool deaf_ = false;
    std::uint64_t random_ = 0;
    /// Revisions that no watch tells.
    std::set<std::uint64_t> unheard_;
    std::uint64_t history_since_ = 0;
    std::uint64_t revision_ = 10;
    std::uint64_t version_ = 1;
    std::string text_ = "text";
    std::vector<target_record> targets_;
    std::vector<data_centre_id> closed_;
    int calls_ = 0;

private:
    static constexpr duration answer_time = 10ms;

    void later(duration wait, action run)
    {
        queue_.emplace(clock_.now() + wait, std::move(run));
    }

    void answer(action run)
    {
        ++calls_;
        later(answer_time, std::move(run));
    }

    manual_clock& clock_;
    std::multimap<time_point, action> queue_;
};

class store_reader_test : public testing::Test
{
protected:
    store_reader_test()
        : store_(clock_), reader_(store_, timers_, knowledge_, [] {})
    {
    }

    void pass(duration span) { store_.run_until(clock_.now() + span, timers_); }

    void add_target(std::string name)
    {
        target_record it;
        it.id = target_id(std::move(name));
        it.revision = ++store_.revision_;
        if (store_.deaf_)
            store_.unheard_.insert(it.revision);
        store_.targets_.push_back(it);
    }

    manual_clock clock_;
    timer_service timers_;
    fleet_state knowledge_;
    fake_store store_;
    store_reader<fake_store> reader_;
};

TEST_F(store_reader_test, change_is_known_within_the_time_that_rules_allow)
{
    reader_.set_active(true);
    pass(5s);
    store_.version_ = 2;
    add_target("t");
    store_.closed_ = {data_centre_id("east")};
    pass(1s);
    EXPECT_EQ(knowledge_.document().version, 2u);
    pass(1500ms);
    EXPECT_EQ(knowledge_.targets().size(), 1u);
    EXPECT_EQ(knowledge_.closures().closed.size(), 1u);
}

TEST_F(store_reader_test, change_that_a_deaf_watch_misses_is_known_by_a_list)
{
    reader_.set_active(true);
    pass(1s);
    store_.deaf_ = true;
    add_target("t");
    store_.closed_ = {data_centre_id("east")};
    pass(2500ms);
    EXPECT_EQ(knowledge_.closures().closed.size(), 1u);
    pass(3s);
    EXPECT_EQ(knowledge_.targets().size(), 1u);
}

TEST_F(store_reader_test, change_missed_at_any_moment_is_listed_within_three_s)
{
    reader_.set_active(true);
    for (std::size_t it = 0; it < 20; ++it) {
        pass(1730ms + it * 97ms);
        store_.deaf_ = true;
        add_target("t" + std::to_string(it));
        pass(1s);
        store_.deaf_ = false;
        pass(1800ms);
        EXPECT_EQ(knowledge_.targets().size(), it + 1);
    }
}

TEST_F(store_reader_test, history_that_is_gone_leads_to_a_list_at_once)
{
    reader_.set_active(true);
    pass(100ms);
    add_target("t");
    store_.history_since_ = store_.revision_;
    pass(2200ms);
    EXPECT_EQ(knowledge_.targets().size(), 1u);
}

TEST_F(store_reader_test, store_that_comes_back_is_read_within_two_seconds)
{
    reader_.set_active(true);
    pass(2s);
    store_.status_ = store_status::unavailable;
    pass(20s);
    EXPECT_FALSE(reader_.reached());
    auto const read_at = knowledge_.read_at();
    store_.status_ = store_status::done;
    store_.version_ = 7;
    add_target("t");
    pass(2s);
    EXPECT_TRUE(reader_.reached());
    EXPECT_GT(knowledge_.read_at(), read_at);
    EXPECT_EQ(knowledge_.document().version, 7u);
    EXPECT_EQ(knowledge_.targets().size(), 1u);
}

TEST_F(store_reader_test, closure_made_while_the_store_was_away_is_known_soon)
{
    reader_.set_active(true);
    pass(2s);
    // The longest waits that can be drawn.
    store_.random_ = static_cast<std::uint64_t>(duration(1500ms).count()) - 1;
    for (int round = 0; round < 10; ++round) {
        store_.status_ = store_status::unavailable;
        pass(5s + round * 130ms);
        store_.status_ = store_status::done;
        store_.closed_ = {data_centre_id("dc-" + std::to_string(round))};
        ++store_.revision_;
        add_target("t" + std::to_string(round));
        // A machine is in touch again after three seconds, and VMs hear from
        // the reader within half a second.
        pass(2500ms);
        EXPECT_EQ(knowledge_.closures().closed, store_.closed_) << round;
        EXPECT_EQ(
            knowledge_.targets().size(), static_cast<std::size_t>(round) + 1);
    }
}

TEST_F(store_reader_test, calls_while_the_store_is_away_stay_few)
{
    reader_.set_active(true);
    pass(1s);
    store_.status_ = store_status::unavailable;
    pass(5s);
    auto const before = store_.calls_;
    pass(10s);
    EXPECT_LE(store_.calls_ - before, 25);
}

TEST_F(store_reader_test, calls_on_a_quiet_day_stay_below_the_bound)
{
    reader_.set_active(true);
    pass(5s);
    auto const before = store_.calls_;
    pass(60s);
    // Eight a second for the whole fleet.
    EXPECT_LE(store_.calls_ - before, 60 * 8);
}

TEST_F(store_reader_test, unreadable_configuration_leaves_the_one_before)
{
    reader_.set_active(true);
    pass(1s);
    store_.version_ = 2;
    store_.text_ = "unreadable";
    auto const read_at = knowledge_.read_at();
    pass(3s);
    EXPECT_EQ(knowledge_.document().version, 1u);
    // What cannot be read may have taken keys away.
    EXPECT_LE(knowledge_.read_at(), read_at + 1s);
}

TEST_F(store_reader_test, reader_that_is_not_needed_calls_no_more)
{
    reader_.set_active(true);
    pass(3s);
    reader_.set_active(false);
    pass(3s);
    auto const before = store_.calls_;
    pass(10s);
    EXPECT_EQ(store_.calls_, before);
}

} // namespace
} // namespace pomelohinge
