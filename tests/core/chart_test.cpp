#include "charts/chart_list.hpp"
#include "core/chart.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

enum class door_state { shut, open };
enum class door_event { push, pull };
enum class door_guard { unlocked };
enum class door_action { ring };

} // namespace

template <>
inline constexpr auto name_table<door_state> = make_name_table<door_state>(
    {{door_state::shut, "shut"}, {door_state::open, "open"}});
template <>
inline constexpr auto name_table<door_event> = make_name_table<door_event>(
    {{door_event::push, "push"}, {door_event::pull, "pull"}});
template <>
inline constexpr auto name_table<door_guard> = make_name_table<door_guard>(
    {{door_guard::unlocked, "unlocked"}});
template <>
inline constexpr auto name_table<door_action> = make_name_table<door_action>(
    {{door_action::ring, "ring"}});

namespace {

struct door_chart
{
    using state_type = door_state;
    using event_type = door_event;
    using guard_type = door_guard;
    using action_type = door_action;
};

struct door_context
{
    bool unlocked = true;
    int rings = 0;

    bool check(door_guard) const { return unlocked; }
    void perform(door_action) { ++rings; }
};

class chart_test : public testing::Test
{
protected:
    std::optional<chart<door_chart>> load(std::string_view text)
    {
        auto const parsed = parse_chart(text, found_);
        return parsed ? chart<door_chart>::bind(*parsed, found_) : std::nullopt;
    }

    bool found(std::string_view message) const
    {
        return found_.to_text().find(message) != std::string::npos;
    }

    static constexpr std::string_view valid_text = R"({
        "chart": "door", "initial": "shut",
        "states": {
            "shut": {"on": {"push": {"to": "open", "guard": "unlocked",
                "do": ["ring"]}}},
            "open": {"timeout": {"after_ms": 500, "event": "pull"},
                "on": {"pull": {"to": "shut"}}}
        }})";

    findings found_{"door"};
};

TEST_F(chart_test, event_with_true_guard_changes_state_and_performs_actions)
{
    auto const definition = load(valid_text);
    ASSERT_TRUE(definition) << found_.to_text();
    chart_instance<door_chart> door(*definition);
    door_context context;
    EXPECT_EQ(door.fire(door_event::push, context), chart_step::transitioned);
    EXPECT_EQ(door.state(), door_state::open);
    EXPECT_EQ(context.rings, 1);
    ASSERT_TRUE(door.timeout());
    EXPECT_EQ(door.timeout()->after, std::chrono::milliseconds(500));
}

TEST_F(chart_test, event_with_false_guard_is_ignored)
{
    auto const definition = load(valid_text);
    ASSERT_TRUE(definition);
    chart_instance<door_chart> door(*definition);
    door_context context{false, 0};
    EXPECT_EQ(door.fire(door_event::push, context), chart_step::ignored);
    EXPECT_EQ(door.state(), door_state::shut);
}

TEST_F(chart_test, event_fired_by_an_action_is_handled_after_the_last_action)
{
    struct pulling_context
    {
        chart_instance<door_chart>& door;
        std::vector<door_state> states_at_rings;

        bool check(door_guard) const { return true; }
        void perform(door_action)
        {
            states_at_rings.push_back(door.state());
            EXPECT_EQ(door.fire(door_event::pull, *this), chart_step::deferred);
        }
    };
    auto const definition = load(R"({
        "chart": "door", "initial": "shut",
        "states": {
            "shut": {"on": {"push": {"to": "open", "guard": "unlocked",
                "do": ["ring", "ring"]}}},
            "open": {"on": {"pull": {"to": "shut"}}}
        }})");
    ASSERT_TRUE(definition) << found_.to_text();
    chart_instance<door_chart> door(*definition);
    pulling_context context{door, {}};
    EXPECT_EQ(door.fire(door_event::push, context), chart_step::transitioned);
    EXPECT_EQ(context.states_at_rings,
        (std::vector<door_state>{door_state::open, door_state::open}));
    EXPECT_EQ(door.state(), door_state::shut);
}

TEST_F(chart_test, chart_with_several_errors_reports_all_with_their_lines)
{
    EXPECT_FALSE(load(R"({
        "chart": "door", "initial": "shut",
        "states": {
            "shut": {"on": {"push": {"to": "ajar", "do": ["sing"]}}},
            "open": {}
        }})"));
    EXPECT_TRUE(found(":4:")) << found_.to_text();
    EXPECT_TRUE(found("unknown state \"ajar\""));
    EXPECT_TRUE(found("unknown action \"sing\""));
    EXPECT_TRUE(found("state \"open\" is unreachable"));
    EXPECT_TRUE(found("event \"pull\" triggers no transition"));
}

TEST_F(chart_test, embedded_charts_bind_without_findings)
{
    EXPECT_TRUE(load_charts("", found_)) << found_.to_text();
}

} // namespace
} // namespace pomelohinge
