#ifndef POMELOHINGE_CORE_CHART_HPP
#define POMELOHINGE_CORE_CHART_HPP

#include "core/chart_text.hpp"
#include "core/name_table.hpp"

#include <array>
#include <chrono>
#include <concepts>
#include <optional>
#include <vector>

/// State charts: life cycles written as files under charts/, checked when
/// they are loaded and interpreted here.
namespace pomelohinge {

/// What binds a chart file to code: the enumerations whose names the file
/// may use.
template <class Definition>
concept ChartDefinition = NamedEnum<typename Definition::state_type> &&
    NamedEnum<typename Definition::event_type> &&
    NamedEnum<typename Definition::guard_type> &&
    NamedEnum<typename Definition::action_type>;

/// What a chart calls while it runs: guards answer, actions act.
template <class Context, class Definition>
concept ChartContext = requires(Context& context,
    typename Definition::guard_type guard,
    typename Definition::action_type action)
{
    {
        context.check(guard)
        } -> std::convertible_to<bool>;
    context.perform(action);
};

/// A chart whose names are bound to the enumerations of `Definition`.
template <ChartDefinition Definition>
class chart
{
public:
    using state_type = typename Definition::state_type;
    using event_type = typename Definition::event_type;
    using guard_type = typename Definition::guard_type;
    using action_type = typename Definition::action_type;

    /// A move from one state to another.
    struct row
    {
        state_type target;
        std::optional<guard_type> guard;
        std::vector<action_type> actions;
    };

    /// The event that is raised when a state has lasted for a time.
    struct timeout
    {
        std::chrono::milliseconds after;
        event_type event;
    };

    /// Binds `text`; unknown names, unreachable states and events without a
    /// row are added to `found`. The result is empty if there was any.
    static std::optional<chart> bind(chart_text const& text, findings& found)
    {
        chart built;
        binder bind{found};
        auto const before = found.items().size();
        built.initial_ = bind.template value<state_type>(text.initial, "state");
        for (auto const& it : text.states)
            built.bind_state(it, bind);
        check_states(text, found);
        check_events(text, found);
        if (found.items().size() != before)
            return std::nullopt;
        return built;
    }

    state_type initial() const { return initial_; }

    bool is_final(state_type state) const
    {
        return states_[index_of(state)].is_final;
    }

    std::optional<timeout> const& timeout_of(state_type state) const
    {
        return states_[index_of(state)].expiry;
    }

    std::vector<row> const& rows(state_type state, event_type event) const
    {
        return states_[index_of(state)].rows[index_of(event)];
    }

private:
    struct state_entry
    {
        bool is_final = false;
        std::optional<timeout> expiry;
        std::array<std::vector<row>, enum_count<event_type>> rows;
    };

    /// Turns names into values and reports the unknown ones.
    struct binder
    {
        findings& found;

        template <class Enum>
        Enum value(chart_name const& name, std::string_view what)
        {
            if (auto const it = from_name<Enum>(name.text))
                return *it;
            found.add(name.position, "",
                "unknown " + std::string(what) + " \"" + name.text + "\"");
            return Enum{};
        }
    };

    void bind_state(chart_state_text const& text, binder& bind)
    {
        auto const state = bind.template value<state_type>(text.name, "state");
        auto& entry = states_[index_of(state)];
        entry.is_final = text.is_final;
        if (text.timeout_event)
            entry.expiry = timeout{text.timeout_after,
                bind.template value<event_type>(*text.timeout_event, "event")};
        for (auto const& it : text.rows) {
            auto const event =
                bind.template value<event_type>(it.event, "event");
            entry.rows[index_of(event)].push_back(bind_row(it, bind));
        }
    }

    static row bind_row(chart_row_text const& text, binder& bind)
    {
        row built{
            bind.template value<state_type>(text.target, "state"), {}, {}};
        if (text.guard)
            built.guard = bind.template value<guard_type>(*text.guard, "guard");
        for (auto const& it : text.actions)
            built.actions.push_back(
                bind.template value<action_type>(it, "action"));
        return built;
    }

    static void check_states(chart_text const& text, findings& found)
    {
        for (auto const& it : name_table<state_type>)
            if (!text.has_state(it.name))
                found.add({1, 1}, "/states",
                    "state \"" + std::string(it.name) + "\" is missing");
        for (auto const& it : text.unreachable_states())
            found.add(it.position, "/states",
                "state \"" + it.text + "\" cannot be reached");
    }

    static void check_events(chart_text const& text, findings& found)
    {
        for (auto const& it : name_table<event_type>)
            if (!text.uses_event(it.name))
                found.add({1, 1}, "/states",
                    "event \"" + std::string(it.name) + "\" has no row");
    }

    state_type initial_{};
    std::array<state_entry, enum_count<state_type>> states_;
};

/// What became of an event.
enum class chart_step { ignored, moved };

/// One life cycle: the current state of a chart. The chart must outlive it.
template <ChartDefinition Definition>
class chart_instance
{
public:
    using chart_type = chart<Definition>;
    using state_type = typename Definition::state_type;
    using event_type = typename Definition::event_type;

    explicit chart_instance(chart_type const& definition)
        : chart_(&definition), state_(definition.initial())
    {
    }

    state_type state() const { return state_; }
    bool is_final() const { return chart_->is_final(state_); }

    /// How long the current state may last and what follows, if limited.
    auto const& timeout() const { return chart_->timeout_of(state_); }

    /// Takes the first row for `event` whose guard holds. The state changes
    /// before the actions run, so an action may fire further events.
    template <ChartContext<Definition> Context>
    chart_step fire(event_type event, Context& context)
    {
        for (auto const& it : chart_->rows(state_, event)) {
            if (it.guard && !context.check(*it.guard))
                continue;
            state_ = it.target;
            for (auto const action : it.actions)
                context.perform(action);
            return chart_step::moved;
        }
        return chart_step::ignored;
    }

private:
    chart_type const* chart_;
    state_type state_;
};

} // namespace pomelohinge

#endif
