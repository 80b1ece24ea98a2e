#ifndef POMELOHINGE_TESTS_SIMULATION_FAKE_VM_HPP
#define POMELOHINGE_TESTS_SIMULATION_FAKE_VM_HPP

#include "charts/chart_list.hpp"
#include "servers/control/control_plane.hpp"
#include "servers/dispatch/target_owner.hpp"
#include "servers/limits/organisation_owner.hpp"
#include "servers/requests/entry_request.hpp"
#include "tests/simulation/fake_store.hpp"
#include "tests/simulation/fake_upstream.hpp"
#include "tests/simulation/referee.hpp"
#include "tests/simulation/virtual_world.hpp"

#include <deque>
#include <memory>

namespace pomelohinge::simulation {

class fake_vm;

/// What all VMs of a run share.
struct fleet_context
{
    virtual_world& world;
    fake_store& store;
    chart_list const& rules;
    referee& judge;
    std::map<std::string, fake_vm*> by_address;
    std::map<std::string, fake_upstream*> upstreams;
};

/// One VM: the decision code of the daemon on a fake surrounding. While it
/// is paused, what arrives waits; when it is dead, it is gone.
class fake_vm
{
public:
    fake_vm(fleet_context& fleet, vm_record record)
        : fleet_(fleet), record_(std::move(record)), organisations_(*this),
          targets_(*this), alive_(std::make_shared<bool>(true)),
          plane_(fleet.rules, record_, {}, *this, timers_)
    {
        entry_.random.seed(fleet.world.random()());
        fleet.by_address[record_.peers_address] = this;
        plane_.start();
        pump();
        sweep();
    }

    ~fake_vm()
    {
        *alive_ = false;
        auto const it = fleet_.by_address.find(record_.peers_address);
        if (it != fleet_.by_address.end() && it->second == this)
            fleet_.by_address.erase(it);
        for (auto& [name, upstream] : fleet_.upstreams)
            upstream->drop_from(incarnation_name());
    }

    std::string const& name() const { return record_.vm.text(); }
    vm_record const& record() const { return record_; }
    bool is_paused() const { return paused_; }

    void pause() { paused_ = true; }

    void resume()
    {
        paused_ = false;
        // A process that goes on finds what its own threads said in order,
        // and messages of others anywhere between.
        auto messages = std::exchange(waiting_, {});
        std::shuffle(messages.begin(), messages.end(), fleet_.world.random());
        auto own = std::exchange(own_waiting_, {});
        while (!own.empty() || !messages.empty()) {
            bool const take_own =
                messages.empty() || (!own.empty() && fleet_.world.chance(0.5));
            auto& from = take_own ? own : messages;
            auto const run = std::move(from.front());
            from.pop_front();
            run();
        }
    }

    control_plane<fake_vm>& plane() { return plane_; }
    organisation_owner<fake_vm>& organisations() { return organisations_; }
    target_owner<fake_vm>& targets() { return targets_; }

    void begin_request(
        entry_message message, std::function<void(entry_result)> done)
    {
        auto const holder =
            std::make_shared<std::shared_ptr<entry_request<fake_vm>>>();
        *holder = std::make_shared<entry_request<fake_vm>>(fleet_.rules.request,
            *this, std::move(message),
            [holder, done = std::move(done)](entry_result result) {
                auto const kept = std::exchange(*holder, nullptr);
                done(std::move(result));
            });
        auto const it = *holder;
        it->start();
    }

    /// Runs `work` here: now, after a pause, or never if the VM died.
    void deliver(std::function<void()> work)
    {
        if (paused_)
            waiting_.push_back(std::move(work));
        else
            work();
    }

    /// Wraps work so that it runs here and only while the VM lives.
    template <class Work>
    std::function<void()> here(Work work)
    {
        return [this, alive = alive_, work = std::move(work)]() mutable {
            if (!*alive)
                return;
            if (paused_)
                own_waiting_.push_back(std::move(work));
            else
                work();
        };
    }

    // What decisions need.

    time_point now() const { return fleet_.world.now(); }
    std::uint64_t random() { return fleet_.world.random()(); }
    policy_pointer const& current_policy() const { return policy_; }
    time_point lease_end() const { return lease_end_; }
    entry_state& state() { return entry_; }
    data_centre_id const& data_centre() const { return record_.data_centre; }

    void after(duration wait, std::function<void()> run)
    {
        fleet_.world.after(wait, here(std::move(run)));
    }

    void ask_charge(vm_record const& vm, charge_question const& question,
        std::function<void(charge_reply)> done)
    {
        call<charge_reply>(vm.peers_address, charge_timeout, std::move(done),
            [question, &judge = fleet_.judge](
                fake_vm& at, std::function<void(charge_reply)> reply) {
                auto const answer = at.organisations_.charge(question);
                bool const granted = answer.result == charge_outcome::granted ||
                    answer.result == charge_outcome::granted_on_trial;
                if (granted)
                    judge.token_given(
                        question.organisation.text(), at.name(), at.now());
                reply(answer);
            });
    }

    void ask_record(vm_record const& vm, record_question const& question,
        std::function<void(record_reply)> done)
    {
        call<record_reply>(vm.peers_address, record_timeout, std::move(done),
            [question](fake_vm& at, std::function<void(record_reply)> reply) {
                at.organisations_.record(question, std::move(reply));
            });
    }

    void tell_poison(vm_record const& vm, poison_notice const& notice)
    {
        call<int>(
            vm.peers_address, charge_timeout, [](int) {},
            [notice](fake_vm& at, std::function<void(int)>) {
                at.organisations_.note(notice);
            });
    }

    std::uint64_t send_order(vm_record const& vm, dispatch_order order,
        std::function<void(dispatch_answer)> done)
    {
        auto const id = ++last_call_;
        auto const owner = std::make_shared<std::pair<fake_vm*, ticket>>();
        calls_[id] = owner;
        auto const timeout = order.remaining + dispatch_allowance;
        // Once the order is on its way, a loss says nothing of its fate.
        bool const reached =
            !fleet_.world.is_cut(name(), name_at(vm.peers_address)) &&
            fleet_.by_address.contains(vm.peers_address);
        dispatch_answer otherwise;
        otherwise.result =
            reached ? dispatch_outcome::lost : dispatch_outcome::unreachable;
        call<dispatch_answer>(
            vm.peers_address, timeout,
            [this, id, done = std::move(done)](dispatch_answer answer) {
                calls_.erase(id);
                done(std::move(answer));
            },
            [order = std::move(order), owner](
                fake_vm& at, std::function<void(dispatch_answer)> reply) {
                owner->first = &at;
                owner->second = at.targets_.submit(order, std::move(reply));
            },
            otherwise);
        return id;
    }

    void cancel_order(std::uint64_t id)
    {
        auto const it = calls_.find(id);
        if (it == calls_.end())
            return;
        auto const owner = it->second;
        fleet_.world.after(
            std::chrono::milliseconds(1), [this, owner, alive = alive_] {
                // The owner may have died in the meantime.
                for (auto const& [address, vm] : fleet_.by_address)
                    if (vm == owner->first)
                        vm->deliver([vm = vm, owner] {
                            vm->targets_.cancel(owner->second);
                        });
            });
    }

    std::uint64_t send_upstream(target_object const& target,
        dispatch_order const& order, std::function<void(attempt_end)> done)
    {
        auto* const upstream = fleet_.upstreams.at(order.target.text());
        fleet_.judge.work_begins(target, order, now());
        auto const alive = alive_;
        return upstream->run(order, incarnation_name(),
            [this, alive, done = std::move(done)](attempt_end end) {
                if (*alive)
                    deliver([done, end] { done(end); });
            });
    }

    void cancel_upstream(std::uint64_t id)
    {
        for (auto& [name, upstream] : fleet_.upstreams)
            upstream->cancel(id);
    }

    void report_attempt(target_id const& target, attempt_report const& report)
    {
        fleet_.world.after(std::chrono::microseconds(50),
            here([this, target, report] { plane_.attempted(target, report); }));
    }

    // What the control plane needs.

    void watch_store(
        std::uint64_t revision, std::function<void(store_changes)> done)
    {
        fleet_.store.watch(name(), revision, back<store_changes>(done));
    }

    void write_view(
        data_centre_view const& view, std::function<void(store_status)> done)
    {
        fleet_.store.write(name(), view, back<store_status>(done));
    }

    void send_sync(std::string const& address, sync_question const& question,
        std::function<void(sync_reply)> done)
    {
        call<sync_reply>(address, sync_timeout, std::move(done),
            [question](fake_vm& at, std::function<void(sync_reply)> reply) {
                reply(at.plane_.answer_sync(question));
            });
    }

    void send_release(vm_record const& vm, release_notice const& notice)
    {
        // Now and then a notice comes twice.
        int const times = fleet_.world.chance(0.1) ? 2 : 1;
        for (int it = 0; it < times; ++it)
            call<int>(
                vm.peers_address, sync_timeout, [](int) {},
                [notice](fake_vm& at, std::function<void(int)>) {
                    at.plane_.released(notice);
                });
    }

    void send_floor(vm_record const& vm, floor_question const& question,
        std::function<void(floor_reply)> done)
    {
        call<floor_reply>(vm.peers_address, sync_timeout, std::move(done),
            [question](fake_vm& at, std::function<void(floor_reply)> reply) {
                reply(at.plane_.answer_floor(question));
            });
    }

    void ask_reach(vm_record const& vm, reach_question const& question,
        std::function<void(reach_verdict)> done)
    {
        call<reach_verdict>(
            vm.peers_address, reach_timeout, std::move(done),
            [question](fake_vm& at, std::function<void(reach_verdict)> reply) {
                if (question.vm_address.empty())
                    return reply(reach_verdict::reached);
                at.ask_reach(at.record_of(question.vm_address), {}, reply);
            },
            reach_verdict::not_reached);
    }

    void publish(policy_pointer const& next, hand_over_callback done,
        std::function<void()> lost_are_idle)
    {
        // The traffic thread takes the policy a little later.
        fleet_.world.after(to_traffic,
            here([this, next, done = std::move(done), lost_are_idle] {
                auto const before = std::exchange(policy_, next);
                done(organisations_.release_lost(before));
                targets_.when_lost_are_idle(here(lost_are_idle));
            }));
    }

    void take_over(organisation_hand_over taken)
    {
        fleet_.world.after(to_traffic,
            here([this, taken] { organisations_.take_over(taken); }));
    }

    void set_limit(target_id const& target, std::size_t limit)
    {
        fleet_.world.after(to_traffic,
            here([this, target, limit] { targets_.set_limit(target, limit); }));
    }

    void set_lease_end(time_point end)
    {
        fleet_.world.after(to_traffic, here([this, end] { lease_end_ = end; }));
    }

    void probe_upstream(std::string const&, std::function<void(bool)> done)
    {
        fleet_.world.after(
            std::chrono::milliseconds(25), here([done] { done(true); }));
    }

private:
    static constexpr duration charge_timeout = std::chrono::milliseconds(400);
    static constexpr duration record_timeout = std::chrono::milliseconds(800);
    static constexpr duration sync_timeout = std::chrono::milliseconds(700);
    static constexpr duration reach_timeout = std::chrono::milliseconds(900);
    static constexpr duration dispatch_allowance =
        std::chrono::milliseconds(200);
    /// From the control thread to a traffic thread; messages keep their
    /// order.
    static constexpr duration to_traffic = std::chrono::milliseconds(1);
    static constexpr duration pump_period = std::chrono::milliseconds(25);
    static constexpr duration sweep_period = std::chrono::milliseconds(50);

    std::string incarnation_name() const
    {
        return name() + std::to_string(record_.incarnation);
    }

    std::string name_at(std::string const& address) const
    {
        auto const it = fleet_.by_address.find(address);
        return it == fleet_.by_address.end() ? address : it->second->name();
    }

    vm_record record_of(std::string const& address) const
    {
        vm_record record;
        record.peers_address = address;
        return record;
    }

    template <class Answer>
    std::function<void(Answer)> back(std::function<void(Answer)> done)
    {
        return [this, alive = alive_, done = std::move(done)](Answer answer) {
            if (*alive)
                deliver([done, answer] { done(answer); });
        };
    }

    /// A call to the VM at `address`: request and reply are messages, and
    /// without a reply in time the answer is `otherwise`.
    template <class Answer, class Serve>
    void call(std::string const& address, duration timeout,
        std::function<void(Answer)> done, Serve serve, Answer otherwise = {})
    {
        auto const open = std::make_shared<bool>(true);
        auto const finish = [this, alive = alive_, open,
                                done = std::move(done)](Answer answer) {
            if (*alive && std::exchange(*open, false))
                deliver([done, answer] { done(answer); });
        };
        fleet_.world.after(timeout, [finish, otherwise] { finish(otherwise); });
        if (address == record_.peers_address) {
            fleet_.world.after(std::chrono::microseconds(20),
                here([this, finish, serve = std::move(serve)] {
                    serve(*this, finish);
                }));
            return;
        }
        auto const to = name_at(address);
        if (!fleet_.by_address.contains(address)) {
            // The connection is refused at once.
            fleet_.world.after(std::chrono::milliseconds(1),
                [finish, otherwise] { finish(otherwise); });
            return;
        }
        fleet_.world.send(name(), to,
            [&fleet = fleet_, address, from = name(), to, finish,
                serve = std::move(serve)] {
                auto const it = fleet.by_address.find(address);
                if (it == fleet.by_address.end())
                    return;
                auto* const at = it->second;
                at->deliver([&fleet, at, from, to, finish, serve] {
                    serve(*at, [&fleet, from, to, finish](Answer answer) {
                        fleet.world.send(
                            to, from, [finish, answer] { finish(answer); });
                    });
                });
            });
    }

    void pump()
    {
        timers_.run_due(now());
        fleet_.world.after(pump_period, here([this] { pump(); }));
    }

    void sweep()
    {
        targets_.sweep();
        organisations_.expire();
        fleet_.world.after(sweep_period, here([this] { sweep(); }));
    }

    fleet_context& fleet_;
    vm_record record_;
    timer_service timers_;
    policy_pointer policy_;
    time_point lease_end_{};
    entry_state entry_;
    organisation_owner<fake_vm> organisations_;
    target_owner<fake_vm> targets_;
    bool paused_ = false;
    std::deque<std::function<void()>> waiting_;
    std::deque<std::function<void()>> own_waiting_;
    std::shared_ptr<bool> alive_;
    std::uint64_t last_call_ = 0;
    std::map<std::uint64_t, std::shared_ptr<std::pair<fake_vm*, ticket>>>
        calls_;
    control_plane<fake_vm> plane_;
};

} // namespace pomelohinge::simulation

#endif
