#ifndef POMELOHINGE_TESTS_SIMULATION_FAKE_VM_HPP
#define POMELOHINGE_TESTS_SIMULATION_FAKE_VM_HPP

#include "charts/chart_list.hpp"
#include "core/timer_service.hpp"
#include "servers/control/control_plane.hpp"
#include "servers/entries/entry_answer.hpp"
#include "servers/requests/entry_request.hpp"
#include "tests/simulation/fake_store.hpp"
#include "tests/simulation/fake_upstream.hpp"

#include <memory>

namespace pomelohinge::simulation {

class fake_vm;

/// What VMs of a run share.
struct fleet_context
{
    virtual_world& world;
    fake_store& store;
    referee& judge;
    chart_list const& rules;
    fleet_bounds bounds;
    /// Living VMs by peers' address, and targets by address.
    std::map<std::string, fake_vm*> vms;
    std::map<std::string, fake_upstream*> upstreams;
};

/// One VM in virtual time: the real decisions over messages of the virtual
/// world. It can be paused, killed and started anew.
class fake_vm
{
public:
    fake_vm(fleet_context& fleet, vm_record record)
        : fleet_(fleet), name_(record.vm.text()), record_(std::move(record)),
          alive_(std::make_shared<bool>(true)),
          entry_(
              fleet.rules.target, record_.vm, record_.data_centre,
              fleet.world.random()(), [](std::string const&) { return true; },
              fleet.bounds),
          plane_(record_, {}, *this, timers_)
    {
        fleet_.vms[record_.peers_address] = this;
    }

    ~fake_vm()
    {
        *alive_ = false;
        fleet_.vms.erase(record_.peers_address);
    }

    void start()
    {
        plane_.start();
        keep_time();
    }

    std::string const& name() const { return name_; }
    vm_record const& record() const { return record_; }
    control_plane<fake_vm>& plane() { return plane_; }
    void pause_until(time_point end) { paused_until_ = end; }
    bool is_paused() const { return now() < paused_until_; }

    /// The addresses that a caller is told.
    std::vector<std::string> entries()
    {
        if (policy_ == nullptr)
            return {};
        return answer_entries(*policy_->members, record_.data_centre).addresses;
    }

    /// A request of a caller.
    void take(incoming_request message, std::function<void(entry_result)> done)
    {
        run_here([this, message = std::move(message), done] {
            auto const it = std::make_shared<std::shared_ptr<request>>();
            *it = std::make_shared<request>(fleet_.rules.request, *this,
                message, [this, it, done](entry_result result) {
                    auto const held = std::exchange(*it, nullptr);
                    fleet_.world.after(duration::zero(), [held] {});
                    done(std::move(result));
                });
            (*it)->start();
        });
    }

    /// Runs `work` on this VM: later if it is paused, never once it is dead.
    void run_here(std::function<void()> work)
    {
        fleet_.world.after(duration::zero(), guarded(std::move(work)));
    }

    // What control and requests need.

    time_point now() const { return fleet_.world.now(); }
    std::uint64_t random() { return fleet_.world.random()(); }
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
        fleet_.store.read_configuration(name_, wrapped(std::move(done)));
    }
    void list_targets(std::function<void(targets_result)> done)
    {
        fleet_.store.list_targets(name_, wrapped(std::move(done)));
    }
    void watch_targets(std::uint64_t revision, duration wait,
        std::function<void(targets_result)> done)
    {
        fleet_.store.watch_targets(
            name_, revision, wait, wrapped(std::move(done)));
    }
    void list_closures(std::function<void(closures_result)> done)
    {
        fleet_.store.list_closures(name_, wrapped(std::move(done)));
    }
    void list_vms(std::function<void(vms_result)> done)
    {
        fleet_.store.list_vms(name_, wrapped(std::move(done)));
    }
    void register_vm(
        vm_record const& vm, std::function<void(store_status)> done)
    {
        fleet_.store.register_vm(name_, vm, wrapped(std::move(done)));
    }
    void remove_vm(vm_id const& vm, std::function<void(store_status)> done)
    {
        fleet_.store.remove_vm(name_, vm, wrapped(std::move(done)));
    }

    void send_sync(std::string const& address, sync_question const& question,
        std::function<void(sync_reply)> done)
    {
        auto const answered = std::make_shared<bool>(false);
        auto const once =
            guarded_with<sync_reply>([answered, done](sync_reply reply) {
                if (!std::exchange(*answered, true))
                    done(std::move(reply));
            });
        fleet_.world.after(question.long_poll_timeout + sync_timeout,
            [once] { once(sync_reply{}); });
        auto const peer = fleet_.vms.find(address);
        if (peer == fleet_.vms.end())
            return fleet_.world.after(
                refused_after, [once] { once(sync_reply{}); });
        auto const& to = peer->second->name_;
        // What was sent arrives even if its sender has died.
        fleet_.world.send(name_, to,
            [&fleet = fleet_, address, to, from = name_, question, once] {
                deliver_sync(fleet, address, to, from, question, once);
            });
    }

    void publish(policy_pointer const& next)
    {
        policy_ = next;
        entry_.adopt(next, now());
    }
    void set_read_at(time_point at) { read_at_ = at; }
    void distribute_report(traffic_report const& others)
    {
        entry_.apply_report(others, now());
    }
    void collect_report(std::function<void(traffic_report)> done)
    {
        run_here([this, done] { done(entry_.make_report(now())); });
    }

    policy_pointer const& current_policy() const { return policy_; }
    time_point read_at() const { return read_at_; }
    entry_state& state() { return entry_; }

    std::uint64_t send_upstream(target_record const& target,
        upstream_request order, std::function<void(attempt_end)> done)
    {
        auto const id = ++last_attempt_;
        auto const answered = std::make_shared<bool>(false);
        auto const once = guarded_with<attempt_end>(
            [this, id, answered, done](attempt_end end) {
                if (std::exchange(*answered, true) || cancelled_.erase(id) > 0)
                    return;
                done(std::move(end));
                if (entry_.targets.take_report_due())
                    plane_.report_failures();
            });
        attempt_end timed_out;
        timed_out.result = attempt_result::timed_out;
        fleet_.world.after(
            order.time_limit, [once, timed_out] { once(timed_out); });
        fleet_.world.send(name_, target.id.text(),
            [&fleet = fleet_, expected = target, order = std::move(order), once,
                from = name_] {
                deliver_order(fleet, expected, order, once, from);
            });
        return id;
    }

    void cancel_upstream(std::uint64_t attempt) { cancelled_.insert(attempt); }

    void after(duration wait, std::function<void()> run)
    {
        fleet_.world.after(wait, guarded(std::move(run)));
    }

    void create_record(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        fleet_.store.create_record(name_, record,
            [this, done](record_outcome result, idempotency_record found) {
                run_here([done, result, found] { done(result, found); });
            });
    }
    void write_record(idempotency_record const& record)
    {
        fleet_.store.write_record(name_, record);
    }
    void remove_record(idempotency_record const& record)
    {
        fleet_.store.remove_record(name_, record);
    }

private:
    using request = entry_request<fake_vm>;

    static constexpr duration sync_timeout = std::chrono::milliseconds(500);
    static constexpr duration refused_after = std::chrono::milliseconds(1);
    static constexpr duration time_step = std::chrono::milliseconds(10);
    static constexpr duration tick_period = std::chrono::milliseconds(50);

    /// Wraps a callback so that it waits while the VM is paused and is lost
    /// when it is dead.
    template <class Value>
    std::function<void(Value)> guarded_with(std::function<void(Value)> run)
    {
        return [this, alive = alive_, run = std::move(run)](Value value) {
            if (!*alive)
                return;
            if (!is_paused())
                return run(std::move(value));
            fleet_.world.at(
                paused_until_, guarded([run, value] { run(value); }));
        };
    }

    template <class Value>
    std::function<void(Value)> wrapped(std::function<void(Value)> run)
    {
        return guarded_with<Value>(std::move(run));
    }

    std::function<void()> guarded(std::function<void()> run)
    {
        return [this, alive = alive_, run = std::move(run)] {
            if (!*alive)
                return;
            if (is_paused())
                return fleet_.world.at(paused_until_, guarded(run));
            run();
        };
    }

    static void deliver_sync(fleet_context& fleet, std::string const& address,
        std::string const& to, std::string const& from,
        sync_question const& question, std::function<void(sync_reply)> once)
    {
        auto const peer = fleet.vms.find(address);
        if (peer == fleet.vms.end())
            return;
        auto* const vm = peer->second;
        vm->run_here([vm, &fleet, to, from, question, once] {
            vm->plane_.answer_sync(
                question, [&fleet, to, from, once](sync_reply reply) {
                    fleet.world.send(to, from, [once, reply] { once(reply); });
                });
        });
    }

    /// Another target at the address refuses what was meant for this one.
    static void deliver_order(fleet_context& fleet,
        target_record const& expected, upstream_request const& order,
        std::function<void(attempt_end)> once, std::string const& from)
    {
        auto const it = fleet.upstreams.find(expected.address);
        auto const back = [&fleet, once, from, to = expected.id.text()](
                              attempt_end end) {
            fleet.world.send(to, from, [once, end] { once(end); });
        };
        attempt_end end;
        if (it == fleet.upstreams.end()) {
            end.result = attempt_result::connect_failed;
            return back(end);
        }
        if (it->second->record().id != expected.id) {
            end.result = attempt_result::misdirected;
            return back(end);
        }
        it->second->arrive(from, order, back);
    }

    void keep_time()
    {
        timers_.run_due(now());
        if (now() >= next_tick_) {
            next_tick_ = now() + tick_period;
            entry_.tick(now());
        }
        after(time_step, [this] { keep_time(); });
    }

    fleet_context& fleet_;
    std::string name_;
    vm_record record_;
    std::shared_ptr<bool> alive_;
    time_point paused_until_{};
    timer_service timers_;
    entry_state entry_;
    policy_pointer policy_;
    time_point read_at_{};
    time_point next_tick_{};
    std::uint64_t last_attempt_ = 0;
    std::set<std::uint64_t> cancelled_;
    control_plane<fake_vm> plane_;
};

} // namespace pomelohinge::simulation

#endif
