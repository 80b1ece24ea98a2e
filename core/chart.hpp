#ifndef POMELOHINGE_CORE_CHART_HPP
#define POMELOHINGE_CORE_CHART_HPP

#include "core/chart_text.hpp"
#include "core/name_table.hpp"

#include <absl/cleanup/cleanup.h>
#include <array>
#include <chrono>
#include <concepts>
#include <optional>
#include <vector>

/// State charts: state machines described by files under charts/. Files are
/// validated when they are loaded; the classes below interpret them.
namespace pomelohinge {

/// Binds a chart file to code: the enumerations of the states, events, guards
/// and actions that the file refers to by name.
template <class Definition>
concept ChartDefinition = NamedEnum<typename Definition::state_type> &&
    NamedEnum<typename Definition::event_type> &&
    NamedEnum<typename Definition::guard_type> &&
    NamedEnum<typename Definition::action_type>;

/// The object that evaluates the guards and performs the actions of a chart.
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

/// A validated chart whose names are resolved to the enumerators of
/// `Definition`. Immutable, so instances can share it.
template <ChartDefinition Definition>
class chart
{
public:
    using state_type = typename Definition::state_type;
    using event_type = typename Definition::event_type;
    using guard_type = typename Definition::guard_type;
    using action_type = typename Definition::action_type;

    /// A transition to `target`, taken if there is no guard or it holds.
    struct transition
    {
        state_type target;
        std::optional<guard_type> guard;
        std::vector<action_type> actions;
    };

    /// The event that is fired when a state has been active for `after`.
    struct timeout
    {
        std::chrono::milliseconds after;
        event_type event;
    };

    /// Resolves the names in `text`. Unknown names, missing or unreachable
    /// states and events without a transition are added to `found`; the result
    /// is empty if there are any.
    static std::optional<chart> bind(chart_text const& text, findings& found)
    {
        chart built;
        name_resolver resolver{found};
        auto const before = found.items().size();
        built.initial_ =
            resolver.template resolve<state_type>(text.initial, "state");
        for (auto const& it : text.states)
            built.bind_state(it, resolver);
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
        return states_[index_of(state)].state_timeout;
    }

    std::vector<transition> const& transitions(
        state_type state, event_type event) const
    {
        return states_[index_of(state)].transitions[index_of(event)];
    }

private:
    struct state_entry
    {
        bool is_final = false;
        std::optional<timeout> state_timeout;
        std::array<std::vector<transition>, enum_count<event_type>> transitions;
    };

    /// Maps names to enumerators and reports unknown names.
    struct name_resolver
    {
        findings& found;

        template <class Enum>
        Enum resolve(chart_name const& name, std::string_view category)
        {
            if (auto const it = from_name<Enum>(name.text))
                return *it;
            found.add(name.position, "",
                "unknown " + std::string(category) + " \"" + name.text + "\"");
            return Enum{};
        }
    };

    void bind_state(chart_state_text const& text, name_resolver& resolver)
    {
        auto const state =
            resolver.template resolve<state_type>(text.name, "state");
        auto& entry = states_[index_of(state)];
        entry.is_final = text.is_final;
        if (text.timeout_event)
            entry.state_timeout = timeout{text.timeout_after,
                resolver.template resolve<event_type>(
                    *text.timeout_event, "event")};
        for (auto const& it : text.transitions) {
            auto const event =
                resolver.template resolve<event_type>(it.event, "event");
            entry.transitions[index_of(event)].push_back(
                bind_transition(it, resolver));
        }
    }

    static transition bind_transition(
        chart_transition_text const& text, name_resolver& resolver)
    {
        transition built{
            resolver.template resolve<state_type>(text.target, "state"), {},
            {}};
        if (text.guard)
            built.guard =
                resolver.template resolve<guard_type>(*text.guard, "guard");
        for (auto const& it : text.actions)
            built.actions.push_back(
                resolver.template resolve<action_type>(it, "action"));
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
                "state \"" + it.text + "\" is unreachable");
    }

    static void check_events(chart_text const& text, findings& found)
    {
        for (auto const& it : name_table<event_type>)
            if (!text.uses_event(it.name))
                found.add({1, 1}, "/states",
                    "event \"" + std::string(it.name) +
                        "\" triggers no transition");
    }

    state_type initial_{};
    std::array<state_entry, enum_count<state_type>> states_;
};

/// Whether an event caused a transition, or is handled after the current one.
enum class chart_step { ignored, transitioned, deferred };

/// The current state of one state machine that follows a chart. The chart must
/// outlive it.
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

    /// The event that is handled now, or was last.
    event_type event() const { return event_; }

    /// The timeout of the current state, if it has one.
    auto const& timeout() const { return chart_->timeout_of(state_); }

    /// Takes the first transition for `event` whose guard holds. The state
    /// changes before the actions run. An event that is fired while actions run
    /// is handled after the last one of them, before the outer call returns.
    template <ChartContext<Definition> Context>
    chart_step fire(event_type event, Context& context)
    {
        if (is_firing_) {
            deferred_.push_back(event);
            return chart_step::deferred;
        }
        is_firing_ = true;
        absl::Cleanup const stop = [this] {
            is_firing_ = false;
            deferred_.clear();
        };
        auto const step = take_transition(event, context);
        for (std::size_t n = 0; n < deferred_.size(); ++n)
            take_transition(deferred_[n], context);
        return step;
    }

private:
    template <ChartContext<Definition> Context>
    chart_step take_transition(event_type event, Context& context)
    {
        event_ = event;
        for (auto const& it : chart_->transitions(state_, event)) {
            if (it.guard && !context.check(*it.guard))
                continue;
            state_ = it.target;
            for (auto const action : it.actions)
                context.perform(action);
            return chart_step::transitioned;
        }
        return chart_step::ignored;
    }

    chart_type const* chart_;
    state_type state_;
    event_type event_{};
    bool is_firing_ = false;
    std::vector<event_type> deferred_;
};

} // namespace pomelohinge

#endif
