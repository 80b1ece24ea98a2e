#include "core/invariant.hpp"
#include "tests/servers/request_world.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// What happens around a request besides the ends of its attempts.
enum class world_event {
    record_accepted,
    record_running,
    record_done,
    record_unknown,
    record_differs,
    record_unavailable,
    cancelled_attempt_ends,
    caller_disconnects,
    deadline_passes,
    key_is_withdrawn,
    process_ends,
    reroute_delay_passes,
    retries_are_used_up,
    slot_becomes_free,
    slots_are_taken,
    stop_is_near,
    store_is_lost,
    targets_are_gone,
    time_is_nearly_over,
};

constexpr bool is_record_reply(world_event it)
{
    return it <= world_event::record_unavailable;
}

} // namespace

template <>
inline constexpr auto name_table<world_event> = make_name_table<world_event>({
    {world_event::record_accepted, "record_accepted"},
    {world_event::record_running, "record_running"},
    {world_event::record_done, "record_done"},
    {world_event::record_unknown, "record_unknown"},
    {world_event::record_differs, "record_differs"},
    {world_event::record_unavailable, "record_unavailable"},
    {world_event::cancelled_attempt_ends, "cancelled_attempt_ends"},
    {world_event::caller_disconnects, "caller_disconnects"},
    {world_event::deadline_passes, "deadline_passes"},
    {world_event::key_is_withdrawn, "key_is_withdrawn"},
    {world_event::process_ends, "process_ends"},
    {world_event::reroute_delay_passes, "reroute_delay_passes"},
    {world_event::retries_are_used_up, "retries_are_used_up"},
    {world_event::slot_becomes_free, "slot_becomes_free"},
    {world_event::slots_are_taken, "slots_are_taken"},
    {world_event::stop_is_near, "stop_is_near"},
    {world_event::store_is_lost, "store_is_lost"},
    {world_event::targets_are_gone, "targets_are_gone"},
    {world_event::time_is_nearly_over, "time_is_nearly_over"},
});
static_assert(is_ordered<world_event>());

namespace {

/// One step of a play: the end of the current attempt, or another event.
using step = std::variant<attempt_result, world_event>;

std::string describe(std::vector<step> const& steps)
{
    std::string text;
    for (auto const& it : steps)
        text += std::visit(
            [](auto value) { return std::string(to_name(value)) + " "; }, it);
    return text;
}

void apply(request_world& world, world_event event)
{
    switch (event) {
    case world_event::record_accepted:
        return world.reply_record(record_outcome::accepted);
    case world_event::record_running:
        return world.reply_record(record_outcome::running);
    case world_event::record_done:
        return world.reply_record(record_outcome::done);
    case world_event::record_unknown:
        return world.reply_record(record_outcome::unknown);
    case world_event::record_differs:
        return world.reply_record(record_outcome::differs);
    case world_event::record_unavailable:
        return world.reply_record(record_outcome::unavailable);
    case world_event::cancelled_attempt_ends:
        return world.end_cancelled(attempt_result::shed);
    case world_event::caller_disconnects:
        return world.disconnect();
    case world_event::deadline_passes:
        return world.advance(request_world::time_limit);
    case world_event::key_is_withdrawn:
        return world.withdraw_key();
    case world_event::process_ends:
        return world.end_process();
    case world_event::reroute_delay_passes:
        return world.advance(450ms);
    case world_event::retries_are_used_up:
        return world.use_up_retries();
    case world_event::slot_becomes_free:
        return world.free_slot();
    case world_event::slots_are_taken:
        return world.take_slots();
    case world_event::stop_is_near:
        return world.stop_within(10ms);
    case world_event::store_is_lost:
        return world.lose_store();
    case world_event::targets_are_gone:
        return world.set_targets(0);
    case world_event::time_is_nearly_over:
        return world.advance(request_world::time_limit - 20ms);
    }
}

/// Plays a request through all sequences of attempt results and of a few other
/// events, those before its start included.
class refusal_outcome_test : public testing::TestWithParam<request_sort>
{
protected:
    static constexpr std::size_t max_events = 2;
    static constexpr std::size_t max_attempts = 3;

    /// Plays the steps; the request starts before the one at `start`. Returns
    /// whether further steps may change anything.
    bool play(std::vector<step> const& steps, std::size_t start)
    {
        request_world world(GetParam());
        for (std::size_t it = 0; it < steps.size(); ++it) {
            if (it == start)
                world.start();
            std::visit([&](auto value) { perform(world, value); }, steps[it]);
        }
        if (start >= steps.size())
            world.start();
        next_may_end_ = world.has_attempt();
        next_may_reply_ = world.awaits_record();
        next_may_be_late_ = world.has_cancelled_attempt();
        bool const goes_on = !world.has_ended();
        check_end(world, steps);
        ++plays_;
        return goes_on;
    }

    static void perform(request_world& world, attempt_result result)
    {
        world.end_attempt(result);
    }
    static void perform(request_world& world, world_event event)
    {
        apply(world, event);
    }

    /// Lets everything that is still due happen, and checks what the caller was
    /// told against what has become of the attempts.
    void check_end(request_world& world, std::vector<step> const& steps)
    {
        check_result(world, steps);
        bool const had_ended = world.has_ended();
        auto const sent = world.sent();
        expect(!had_ended || !world.has_attempt(), "left an attempt", steps);
        if (had_ended)
            world.free_slots();
        world.advance(3s);
        if (world.awaits_record())
            world.reply_record(record_outcome::accepted);
        world.free_slots();
        world.set_targets(3);
        if (world.has_attempt())
            world.end_attempt(attempt_result::answered);
        world.end_cancelled(attempt_result::answered);
        world.advance(10s);
        check_result(world, steps);
        expect(world.has_ended(), "ended", steps);
        expect(!had_ended || world.sent() == sent, "sent after its end", steps);
        expect(world.sent_after_end() == 0, "sent after its end", steps);
        expect(world.overlapping() == 0, "one attempt at a time", steps);
        expect(world.results() <= 1, "answered twice", steps);
        expect(world.taken_slots() == 0, "slots are free", steps);
        expect(world.state().targets.queue_length() == 0, "left queue", steps);
    }

    void check_result(request_world& world, std::vector<step> const& steps)
    {
        if (GetParam() != request_sort::lookup)
            expect(world.ran_before_send() == 0, "sent once", steps);
        if (world.written_record() || world.is_record_removed())
            expect(!world.is_record_removed() || !world.may_have_run(),
                "record kept", steps);
        if (!world.result())
            return;
        auto const* const it = std::get_if<refusal>(&*world.result());
        if (it == nullptr)
            return;
        expect(it->result == outcome::unknown || !world.may_have_run(),
            "not run", steps);
        refused_as_not_run_ += it->result == outcome::not_run ? 1 : 0;
        refused_as_unknown_ += it->result == outcome::unknown ? 1 : 0;
    }

    void expect(
        bool holds, std::string_view what, std::vector<step> const& steps)
    {
        constexpr int max_reported = 10;
        if (!holds && ++failures_ <= max_reported)
            ADD_FAILURE() << what << ": " << describe(steps);
    }

    void explore(std::vector<step>& steps, std::size_t start,
        std::size_t events, std::size_t attempts)
    {
        if (!play(steps, start))
            return;
        bool const may_end = next_may_end_;
        bool const may_reply = next_may_reply_;
        bool const may_be_late = next_may_be_late_;
        if (may_end && attempts < max_attempts)
            for (auto const& it : name_table<attempt_result>) {
                steps.emplace_back(it.value);
                explore(steps, start, events, attempts + 1);
                steps.pop_back();
            }
        for (auto const& it : name_table<world_event>) {
            bool const is_reply = is_record_reply(it.value);
            if (is_reply ? !may_reply : events == max_events)
                continue;
            if (it.value == world_event::cancelled_attempt_ends && !may_be_late)
                continue;
            steps.emplace_back(it.value);
            explore(steps, start, events + (is_reply ? 0 : 1), attempts);
            steps.pop_back();
        }
    }

    bool next_may_end_ = false;
    bool next_may_reply_ = false;
    bool next_may_be_late_ = false;
    int plays_ = 0;
    int failures_ = 0;
    int refused_as_not_run_ = 0;
    int refused_as_unknown_ = 0;
};

TEST_P(refusal_outcome_test, request_refused_as_not_run_has_not_run_nor_will)
{
    auto const violations = invariant_violations();
    std::vector<step> steps;
    explore(steps, 0, 0, 0);
    for (auto const it :
        {world_event::slots_are_taken, world_event::targets_are_gone,
            world_event::retries_are_used_up, world_event::stop_is_near}) {
        steps.emplace_back(it);
        explore(steps, 1, 0, 0);
        steps.pop_back();
    }
    EXPECT_EQ(invariant_violations(), violations);
    EXPECT_GT(plays_, 1000);
    EXPECT_GT(refused_as_not_run_, 100);
    EXPECT_GT(refused_as_unknown_, 100);
    RecordProperty("plays", plays_);
}

INSTANTIATE_TEST_SUITE_P(sorts, refusal_outcome_test,
    testing::Values(
        request_sort::lookup, request_sort::order, request_sort::keyed_order),
    [](auto const& it) { return std::string(to_name(it.param)); });

/// A repeat that was refused before its record was read was told that the order
/// had not run, although its first was running or done.
class unread_record_test : public testing::TestWithParam<world_event>
{
protected:
    static std::optional<outcome> refused_outcome(request_sort sort)
    {
        request_world world(sort);
        apply(world, GetParam());
        world.start();
        auto const* const it =
            world.result() ? std::get_if<refusal>(&*world.result()) : nullptr;
        return it == nullptr ? std::nullopt : std::optional(it->result);
    }
};

TEST_P(unread_record_test, keyed_order_refused_before_it_is_read_may_have_run)
{
    EXPECT_EQ(refused_outcome(request_sort::keyed_order), outcome::unknown);
}

TEST_P(unread_record_test, order_without_a_key_has_not_run)
{
    EXPECT_EQ(refused_outcome(request_sort::order), outcome::not_run);
}

INSTANTIATE_TEST_SUITE_P(refusals, unread_record_test,
    testing::Values(world_event::key_is_withdrawn, world_event::stop_is_near,
        world_event::store_is_lost),
    [](auto const& it) { return std::string(to_name(it.param)); });

} // namespace
} // namespace pomelohinge
