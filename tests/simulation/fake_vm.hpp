#ifndef POMELOHINGE_TESTS_SIMULATION_FAKE_VM_HPP
#define POMELOHINGE_TESTS_SIMULATION_FAKE_VM_HPP

#include "charts/chart_list.hpp"
#include "core/timer_service.hpp"
#include "servers/control/control_plane.hpp"
#include "servers/entries/entry_answer.hpp"
#include "servers/idempotency/remembered_records.hpp"
#include "servers/requests/entry_request.hpp"
#include "tests/simulation/fake_store.hpp"
#include "tests/simulation/fake_target.hpp"

#include <memory>

namespace pomelohinge::simulation {

class fake_vm;

/// The state that all VMs of a run share.
struct fleet_context
{
    event_simulator& simulator;
    fake_store& store;
    invariant_checker& checker;
    chart_list const& charts;
    fleet_bounds bounds;
    /// Running VMs by their address for peers.
    std::map<std::string, fake_vm*> vms;
    /// Targets by address.
    std::map<std::string, fake_target*> targets;
    /// Set if the VMs roll out versions.
    std::optional<rollout_setup> rollouts = {};
    /// Budget of each hub for reports to other data centres, in bytes per
    /// second; 0 for none.
    double remote_budget = 0;
    placement_settings placement;
    std::optional<transfer_settings> transfers = std::nullopt;
};

/// A VM in virtual time: the production decision code with simulated time and
/// network. It can be paused; destroying it kills it.
class fake_vm
{
public:
    fake_vm(fleet_context& fleet, vm_record record)
        : fleet_(fleet), name_(record.vm.text()), record_(std::move(record)),
          alive_(std::make_shared<bool>(true)),
          entry_state_(
              fleet.charts.target, record_.vm, record_.data_centre,
              fleet.simulator.random()(),
              [](std::string const&) { return true; }, fleet.bounds,
              fleet.placement, fleet.transfers),
          control_plane_(record_, {}, *this, timers_,
              fleet.charts.hub_candidate, fleet.rollouts)
    {
        control_plane_.set_remote_budget(fleet_.remote_budget);
        fleet_.vms[record_.peers_address] = this;
    }

    ~fake_vm()
    {
        *alive_ = false;
        fleet_.vms.erase(record_.peers_address);
    }

    void start()
    {
        control_plane_.start();
        run_timers();
    }

    std::string const& name() const { return name_; }
    vm_record const& record() const { return record_; }
    control_plane<fake_vm>& plane() { return control_plane_; }
    void pause_until(time_point end) { paused_until_ = end; }
    bool is_paused() const { return now() < paused_until_; }

    /// Stops the process until `resume`, which handles what came meanwhile.
    void stop() { is_stopped_ = true; }
    void resume()
    {
        is_stopped_ = false;
        for (auto const& it : std::exchange(held_, {}))
            fleet_.simulator.schedule_after(duration::zero(), it);
    }

    /// The entry addresses that this VM returns to a caller. Empty until the
    /// VM has a policy.
    std::vector<std::string> entries()
    {
        if (policy_ == nullptr)
            return {};
        return answer_entries(*policy_->members, record_.data_centre).addresses;
    }

    /// Handles a request from a caller.
    void handle_request(
        incoming_request message, std::function<void(entry_result)> done)
    {
        post([this, message = std::move(message), done] {
            auto const it = std::make_shared<std::shared_ptr<vm_request>>();
            *it = std::make_shared<vm_request>(fleet_.charts.request, *this,
                message, [this, it, done](entry_result result) {
                    // The request is still running here, so a later event
                    // destroys it.
                    auto const finished = std::exchange(*it, nullptr);
                    fleet_.simulator.schedule_after(
                        duration::zero(), [finished] {});
                    done(std::move(result));
                });
            (*it)->start();
        });
    }

    /// Runs `task` on this VM: after the pause if it is paused, not at all if
    /// it has been destroyed.
    void post(std::function<void()> task)
    {
        fleet_.simulator.schedule_after(
            duration::zero(), guarded_task(std::move(task)));
    }

    // The environment of the control plane and of requests.

    time_point now() const { return fleet_.simulator.now(); }
    std::uint64_t random() { return fleet_.simulator.random()(); }
    std::int64_t unix_now_ms() const
    {
        return to_milliseconds(now().time_since_epoch());
    }

    std::optional<configuration> decode_configuration(
        std::string_view text, findings&)
    {
        auto const* const it =
            fleet_.store.at_version(std::stoull(std::string(text)));
        return it == nullptr ? std::nullopt : std::optional(*it);
    }

    void read_configuration(std::function<void(configuration_result)> done)
    {
        fleet_.store.read_configuration(name_, wrap_callback(std::move(done)));
    }
    void list_targets(std::function<void(targets_result)> done)
    {
        fleet_.store.list_targets(name_, wrap_callback(std::move(done)));
    }
    void watch_targets(std::uint64_t revision, duration long_poll_timeout,
        std::function<void(targets_result)> done)
    {
        fleet_.store.watch_targets(
            name_, revision, long_poll_timeout, wrap_callback(std::move(done)));
    }
    void list_closures(std::function<void(closures_result)> done)
    {
        fleet_.store.list_closures(name_, wrap_callback(std::move(done)));
    }
    void list_rollouts(std::function<void(rollouts_result)> done)
    {
        fleet_.store.list_rollouts(name_, wrap_callback(std::move(done)));
    }
    void write_rollout(rollout_order const& order, rollout_status status,
        std::function<void(rollout_write_result)> done)
    {
        fleet_.store.write_rollout(
            name_, order, status, wrap_callback(std::move(done)));
    }
    void list_vms(std::function<void(vms_result)> done)
    {
        fleet_.store.list_vms(name_, wrap_callback(std::move(done)));
    }
    void register_vm(
        vm_record const& vm, std::function<void(store_status)> done)
    {
        fleet_.store.register_vm(name_, vm, wrap_callback(std::move(done)));
    }
    void remove_vm(vm_id const& vm, std::function<void(store_status)> done)
    {
        fleet_.store.remove_vm(name_, vm, wrap_callback(std::move(done)));
    }

    void send_sync(std::string const& address, sync_question const& question,
        std::function<void(sync_reply)> done)
    {
        auto const answered = std::make_shared<bool>(false);
        auto const once =
            guarded_callback<sync_reply>([answered, done](sync_reply reply) {
                if (!std::exchange(*answered, true))
                    done(std::move(reply));
            });
        fleet_.simulator.schedule_after(
            question.long_poll_timeout + sync_reply_timeout,
            [once] { once(sync_reply{}); });
        auto const peer = fleet_.vms.find(address);
        if (peer == fleet_.vms.end())
            return fleet_.simulator.schedule_after(
                connection_refused_delay, [once] { once(sync_reply{}); });
        auto const& to = peer->second->name_;
        // A message that is under way arrives even if its sender is killed.
        fleet_.simulator.send(name_, to,
            [&fleet = fleet_, address, to, from = name_, question, once] {
                deliver_sync(fleet, address, to, from, question, once);
            });
    }

    void publish(policy_pointer const& next)
    {
        policy_ = next;
        entry_state_.adopt(next, now());
        records_.set_era(next->store);
    }
    void set_read_at(time_point at) { read_at_ = at; }
    void distribute_report(traffic_report const& report)
    {
        entry_state_.apply_report(report, now());
    }
    void collect_report(std::function<void(traffic_report)> done)
    {
        post([this, done] { done(entry_state_.make_report(now())); });
    }

    policy_pointer const& current_policy() const { return policy_; }
    time_point read_at() const { return read_at_; }
    entry_state& state() { return entry_state_; }

    std::uint64_t send_upstream(target_record const& target,
        upstream_request request, std::function<void(attempt_end)> done)
    {
        auto const id = ++last_attempt_;
        auto const answered = std::make_shared<bool>(false);
        auto const once = guarded_callback<attempt_end>(
            [this, id, answered, done](attempt_end end) {
                if (std::exchange(*answered, true) || cancelled_.erase(id) > 0)
                    return;
                done(std::move(end));
                if (entry_state_.targets.take_report_due())
                    control_plane_.report_failures();
            });
        fleet_.simulator.schedule_after(request.time_limit, [once] {
            attempt_end timed_out;
            timed_out.result = attempt_result::timed_out;
            once(std::move(timed_out));
        });
        fleet_.simulator.send(name_, target.id.text(),
            [&fleet = fleet_, expected = target, request = std::move(request),
                once, from = name_] {
                deliver_request(fleet, expected, request, once, from);
            });
        return id;
    }

    void cancel_upstream(std::uint64_t attempt) { cancelled_.insert(attempt); }

    void after(duration delay, std::function<void()> run)
    {
        fleet_.simulator.schedule_after(delay, guarded_task(std::move(run)));
    }

    void create_record(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        records_.create(record, done);
    }
    void write_record(idempotency_record const& record)
    {
        records_.write(record);
    }
    void remove_record(idempotency_record const& record)
    {
        records_.remove(record);
    }

private:
    /// The client of this VM for records in the store.
    struct record_client
    {
        fake_vm& vm;

        void create(idempotency_record const& record,
            std::function<void(record_outcome, idempotency_record)> done)
        {
            vm.fleet_.store.create_record(vm.name_, record,
                [this, done](record_outcome result, idempotency_record found) {
                    vm.post([done, result, found] { done(result, found); });
                });
        }
        void write(idempotency_record const& record)
        {
            vm.fleet_.store.write_record(vm.name_, record);
        }
        void remove(idempotency_record const& record)
        {
            vm.fleet_.store.remove_record(vm.name_, record);
        }
        std::uint64_t era() const { return vm.fleet_.store.era(); }
    };

    using vm_request = entry_request<fake_vm>;

    static constexpr duration connection_refused_delay =
        std::chrono::milliseconds(1);
    static constexpr duration timer_period = std::chrono::milliseconds(10);
    static constexpr duration tick_period = std::chrono::milliseconds(50);

    /// Wraps a callback so that it runs after the pause if the VM is paused,
    /// and is dropped if the VM has been destroyed.
    template <class Value>
    std::function<void(Value)> guarded_callback(std::function<void(Value)> run)
    {
        return [this, alive = alive_, run = std::move(run)](Value value) {
            if (!*alive)
                return;
            if (!is_stopped_ && !is_paused())
                return run(std::move(value));
            auto const held = std::make_shared<Value>(std::move(value));
            hold(guarded_task([run, held] { run(std::move(*held)); }));
        };
    }

    /// As `guarded_callback`, with the type of the argument deduced.
    template <class Value>
    std::function<void(Value)> wrap_callback(std::function<void(Value)> run)
    {
        return guarded_callback<Value>(std::move(run));
    }

    /// As `guarded_callback`, without an argument.
    std::function<void()> guarded_task(std::function<void()> run)
    {
        return [this, alive = alive_, run = std::move(run)] {
            if (!*alive)
                return;
            if (is_stopped_ || is_paused())
                return hold(guarded_task(run));
            run();
        };
    }

    /// Keeps a task until this VM runs again.
    void hold(std::function<void()> task)
    {
        if (is_stopped_)
            return held_.push_back(std::move(task));
        fleet_.simulator.schedule_at(paused_until_, std::move(task));
    }

    static void deliver_sync(fleet_context& fleet, std::string const& address,
        std::string const& to, std::string const& from,
        sync_question const& question, std::function<void(sync_reply)> once)
    {
        auto const peer = fleet.vms.find(address);
        if (peer == fleet.vms.end())
            return;
        auto* const vm = peer->second;
        vm->post([vm, &fleet, to, from, question, once] {
            vm->control_plane_.answer_sync(
                question, [&fleet, to, from, once](sync_reply reply) {
                    fleet.simulator.send(
                        to, from, [once, reply] { once(reply); });
                });
        });
    }

    /// Delivers a request to the target at the address, which rejects it as
    /// misdirected if it is not the expected one.
    static void deliver_request(fleet_context& fleet,
        target_record const& expected, upstream_request const& request,
        std::function<void(attempt_end)> once, std::string const& from)
    {
        auto const it = fleet.targets.find(expected.address);
        auto const reply = [&fleet, once, from, to = expected.id.text()](
                               attempt_end end) {
            auto const held = std::make_shared<attempt_end>(std::move(end));
            fleet.simulator.send(
                to, from, [once, held] { once(std::move(*held)); });
        };
        attempt_end end;
        if (it == fleet.targets.end()) {
            end.result = attempt_result::connect_failed;
            return reply(std::move(end));
        }
        if (it->second->record().id != expected.id) {
            end.result = attempt_result::misdirected;
            return reply(std::move(end));
        }
        it->second->receive(from, expected, request, reply);
    }

    void run_timers()
    {
        timers_.run_due(now());
        if (now() >= next_tick_) {
            next_tick_ = now() + tick_period;
            entry_state_.tick(now());
            records_.tick();
        }
        after(timer_period, [this] { run_timers(); });
    }

    fleet_context& fleet_;
    std::string name_;
    vm_record record_;
    /// Set to false on destruction; shared with pending callbacks.
    std::shared_ptr<bool> alive_;
    time_point paused_until_{};
    bool is_stopped_ = false;
    std::vector<std::function<void()>> held_;
    timer_service timers_;
    entry_state entry_state_;
    policy_pointer policy_;
    time_point read_at_{};
    time_point next_tick_{};
    std::uint64_t last_attempt_ = 0;
    record_client record_client_{*this};
    remembered_records<record_client> records_{record_client_, [this] {
                                                   return now();
                                               }};
    std::set<std::uint64_t> cancelled_;
    control_plane<fake_vm> control_plane_;
};

} // namespace pomelohinge::simulation

#endif
