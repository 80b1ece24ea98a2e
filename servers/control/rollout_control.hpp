#ifndef POMELOHINGE_SERVERS_CONTROL_ROLLOUT_CONTROL_HPP
#define POMELOHINGE_SERVERS_CONTROL_ROLLOUT_CONTROL_HPP

#include "core/log.hpp"
#include "servers/control/control_environment.hpp"
#include "servers/control/control_status.hpp"
#include "servers/control/fleet_state.hpp"
#include "servers/rollouts/rollout_process.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>

namespace pomelohinge {

/// What the control plane needs for rollouts.
struct rollout_setup
{
    rollout_bounds bounds;
    chart<rollout_chart> life_cycle;
};

/// The rollouts on one VM. The VM that reads the store for the fleet decides on
/// them; every VM applies the decisions to its targets. docs/design/rollouts.md
/// describes both.
template <class Environment>
class rollout_control
{
public:
    /// `on_change` is called when the decisions have changed or were renewed,
    /// `read_again` when the orders in the store may have changed.
    rollout_control(Environment& environment, fleet_state& state,
        vm_record const& self, std::optional<rollout_setup> setup,
        std::function<void()> on_change, std::function<void()> read_again)
        : environment_(environment), fleet_state_(state), self_(self),
          setup_(std::move(setup)), on_change_(std::move(on_change)),
          read_again_(std::move(read_again))
    {
    }

    bool enabled() const { return setup_.has_value(); }

    /// Sets whether this VM decides.
    void set_deciding(bool deciding)
    {
        if (!enabled() || std::exchange(deciding_, deciding) == deciding)
            return;
        auto const now = environment_.now();
        if (!deciding) {
            decided_until_ = now;
            return;
        }
        if (now - decided_until_ > max_interruption) {
            processes_.clear();
            last_read_at_ = {};
            has_read_ = false;
        }
        read_again_();
    }

    /// What the reader of the store calls with each list of the orders; null if
    /// rollouts are not enabled.
    std::function<void(rollout_list const&, time_point)> order_handler()
    {
        if (!enabled())
            return nullptr;
        return [this](rollout_list const& list, time_point requested_at) {
            orders_read(list, requested_at);
        };
    }

    /// Applies a list of the orders that was requested at `requested_at`.
    void orders_read(rollout_list const& list, time_point requested_at)
    {
        list_revision_ = std::max(list_revision_, list.revision);
        if (!deciding_)
            return follow_orders(list);
        std::erase_if(processes_, [&](auto const& it) {
            return std::none_of(
                list.orders.begin(), list.orders.end(), [&](auto const& order) {
                    return order.service == it.first &&
                        order.version == it.second.process.order().version;
                });
        });
        for (auto const& it : list.orders)
            read_order(it, requested_at);
        last_read_at_ = requested_at;
        has_read_ = true;
        decide();
    }

    /// Takes over the decisions of another VM. Returns whether they differ.
    bool apply(rollout_decisions decisions)
    {
        return enabled() &&
            fleet_state_.apply_rollouts(
                std::move(decisions), environment_.now());
    }

    /// Adds the reports of this VM and of all others, if this VM decides.
    void add_reports(traffic_report const& own, traffic_report const& others)
    {
        if (!deciding_ || processes_.empty())
            return;
        auto const now = environment_.now();
        in_flight_.clear();
        for (auto const* report : {&own, &others})
            for (auto const& [target, it] : report->targets)
                in_flight_[target] += it.in_flight;
        for (auto& [service, it] : processes_) {
            it.process.add_evidence(own.rollouts, now);
            it.process.add_evidence(others.rollouts, now);
        }
        decide();
    }

    void tick()
    {
        if (deciding_ && has_read_)
            decide();
        // The decisions may have stopped being fresh.
        if (table_ != nullptr && fleet_state_.rollouts().has_open() &&
            table_basis_.is_fresh != is_fresh())
            on_change_();
    }

    /// The roles of the targets at this moment; null if rollouts are not
    /// enabled.
    std::shared_ptr<rollout_table const> make_table()
    {
        if (!enabled())
            return nullptr;
        auto const& decisions = fleet_state_.rollouts();
        table_basis const basis{
            fleet_state_.catalogue(), decisions.position, is_fresh()};
        if (table_ != nullptr && basis == table_basis_)
            return table_;
        table_basis_ = basis;
        auto table = admission_.make_table(
            *basis.targets, decisions, environment_.now());
        if (table_ == nullptr || !(*table_ == table))
            table_ = std::make_shared<rollout_table>(std::move(table));
        return table_;
    }

private:
    /// Decisions are renewed in this period while a rollout is open.
    static constexpr duration renewal_period = std::chrono::milliseconds(500);
    /// A VM that decides again after no more than this time goes on with its
    /// evidence. A hub that tries whether the former one is back does not
    /// decide for a moment, about once a second.
    static constexpr duration max_interruption =
        std::chrono::milliseconds(2000);
    /// Delay after a write that failed.
    static constexpr duration write_retry_delay =
        std::chrono::milliseconds(300);
    /// The age of an order that the first list of this VM shows.
    static constexpr duration assumed_order_age = std::chrono::seconds(2);

    /// What the roles of the targets depend on.
    struct table_basis
    {
        std::shared_ptr<target_catalogue const> targets;
        rollout_position position;
        bool is_fresh = false;

        friend bool operator==(
            table_basis const&, table_basis const&) = default;
    };

    struct decided_rollout
    {
        rollout_process process;
        rollout_state logged = rollout_state::ordered;
        bool is_writing = false;
        time_point next_write{};
    };

    bool is_fresh() const
    {
        return environment_.now() - fleet_state_.rollouts().decided_at <
            max_decision_age;
    }

    // Reading.

    void read_order(rollout_order const& order, time_point requested_at)
    {
        auto const it = processes_.find(order.service);
        if (it != processes_.end())
            return it->second.process.read_order(order);
        auto const started_at = earliest_start(order, requested_at);
        log(log_event::rollout_ordered,
            {{"service", order.service.text()}, {"version", order.version},
                {"finish_by_s", to_seconds(order.finish_by)},
                {"status", to_name(order.status)},
                {"age_ms", to_milliseconds(environment_.now() - started_at)}});
        processes_.emplace(order.service,
            decided_rollout{rollout_process(
                setup_->life_cycle, setup_->bounds, order, started_at)});
    }

    /// The earliest time at which the order can have been given: as the former
    /// deciding VM knew it, else after this VM's last list without it. The
    /// clock of the store or the operator tells nothing.
    time_point earliest_start(
        rollout_order const& order, time_point requested_at) const
    {
        auto const* const held = fleet_state_.rollouts().find(order.service);
        if (held != nullptr && held->version == order.version)
            return held->started_at;
        if (last_read_at_ != time_point{})
            return last_read_at_;
        return requested_at -
            (order.status == rollout_status::none
                    ? std::min<duration>(assumed_order_age, order.finish_by / 4)
                    : order.finish_by / 2);
    }

    /// Another VM decides, or none. What it has decided lately holds; else the
    /// list tells what has ended, and a version that is on trial gets nothing.
    void follow_orders(rollout_list const& list)
    {
        auto const& held = fleet_state_.rollouts();
        auto const now = environment_.now();
        bool const is_decided =
            held.has_open() && now - held.decided_at < max_decision_age;
        if (is_decided || list.revision <= held.position.revision)
            return;
        rollout_decisions read;
        for (auto const& it : list.orders) {
            rollout_decision item;
            item.service = it.service;
            item.version = it.version;
            item.started_at = earliest_start(it, now);
            if (it.status == rollout_status::succeeded)
                item.state = rollout_state::succeeded;
            if (it.status == rollout_status::rolled_back)
                item.state = rollout_state::rolled_back;
            read.items.push_back(std::move(item));
        }
        publish(std::move(read));
    }

    // Deciding.

    void decide()
    {
        auto const now = environment_.now();
        adopt_verdicts_of_others();
        rollout_decisions next;
        for (auto& [service, it] : processes_) {
            it.process.update(targets_of(it.process.order()), now);
            write_status(service, it);
            log_state(it);
            next.items.push_back(it.process.decision());
        }
        next.position.revision = list_revision_;
        bool const is_due = next.has_open() && now >= next_renewal_;
        bool const changed =
            next.items != last_items_ || list_revision_ != published_revision_;
        if (!has_read_ || (!is_due && !changed))
            return;
        next_renewal_ = now + renewal_period;
        last_items_ = next.items;
        publish(std::move(next));
    }

    void publish(rollout_decisions next)
    {
        auto const now = environment_.now();
        next.position = {list_revision_, self_.incarnation, ++sequence_};
        next.decided_at = now;
        published_revision_ = list_revision_;
        fleet_state_.apply_rollouts(std::move(next), now);
        on_change_();
    }

    /// Another VM may have decided at the same time, or before.
    void adopt_verdicts_of_others()
    {
        auto const& held = fleet_state_.rollouts();
        if (held.position.decider == self_.incarnation)
            return;
        for (auto& [service, it] : processes_) {
            auto const* const other = held.find(service);
            auto order = it.process.order();
            if (other == nullptr || other->version != order.version)
                continue;
            if (other->state == rollout_state::rolling_back)
                it.process.reject();
            if (is_final(other->state))
                it.process.end(other->state);
        }
    }

    std::vector<rollout_target> targets_of(rollout_order const& order) const
    {
        std::vector<rollout_target> found;
        auto const& closed = fleet_state_.closures().closed;
        auto const& catalogue = *fleet_state_.catalogue();
        for (auto const at : catalogue.of_service(order.service.text())) {
            auto const& it = catalogue.records()[at];
            bool const is_closed = std::find(closed.begin(), closed.end(),
                                       it.data_centre) != closed.end();
            // A cold target is slow, which says nothing of its version, and
            // does not bear its part of the load yet.
            bool const is_new = it.version == order.version;
            bool const is_cold = it.cold_until > environment_.now();
            if (it.standing != target_standing::serving || is_closed ||
                (is_new && is_cold))
                continue;
            auto const in_flight = in_flight_.find(it.id.text());
            found.push_back({it.id, it.slots,
                in_flight == in_flight_.end() ? 0 : in_flight->second, is_new});
        }
        return found;
    }

    void log_state(decided_rollout& it)
    {
        auto const state = it.process.state();
        if (std::exchange(it.logged, state) == state)
            return;
        auto const& judge = it.process.judge();
        log(log_event::rollout_state_changed,
            {{"service", it.process.order().service.text()},
                {"version", it.process.order().version},
                {"state", to_name(state)}, {"samples", judge.samples()},
                {"bad", judge.bad_answers()},
                {"is_bad", judge.is_bad() ? 1 : 0}});
    }

    // Writing.

    void write_status(service_id const& service, decided_rollout& it)
    {
        auto const wanted = it.process.wanted_status();
        if (!wanted || it.is_writing || environment_.now() < it.next_write)
            return;
        it.is_writing = true;
        auto const order = it.process.order();
        environment_.write_rollout(order, *wanted,
            [this, service, order, status = *wanted](
                rollout_write_result result) {
                status_written(service, order, status, result);
            });
    }

    void status_written(service_id const& service, rollout_order order,
        rollout_status status, rollout_write_result result)
    {
        auto const it = processes_.find(service);
        bool const is_same = it != processes_.end() &&
            it->second.process.order().version == order.version;
        if (result.status != store_status::done)
            log(log_event::rollout_not_written,
                {{"object", order.name}, {"wanted", to_name(status)},
                    {"status", to_name(result.status)}});
        if (!is_same)
            return;
        it->second.is_writing = false;
        it->second.next_write = environment_.now() + write_retry_delay;
        if (result.status != store_status::done)
            return read_again_();
        order.status = status;
        order.revision = result.revision;
        it->second.process.read_order(order);
        if (result.revision == 0)
            read_again_();
        decide();
    }

    Environment& environment_;
    fleet_state& fleet_state_;
    vm_record const& self_;
    std::optional<rollout_setup> setup_;
    std::function<void()> on_change_;
    std::function<void()> read_again_;
    rollout_admission admission_;
    std::shared_ptr<rollout_table const> table_;
    table_basis table_basis_;

    bool deciding_ = false;
    time_point decided_until_{};
    /// The orders have been read since this VM decides.
    bool has_read_ = false;
    time_point last_read_at_{};
    std::uint64_t list_revision_ = 0;
    std::map<service_id, decided_rollout> processes_;
    text_map<std::int64_t> in_flight_;

    std::uint64_t sequence_ = 0;
    std::uint64_t published_revision_ = 0;
    time_point next_renewal_{};
    std::vector<rollout_decision> last_items_;
};

} // namespace pomelohinge

#endif
