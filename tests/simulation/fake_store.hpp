#ifndef POMELOHINGE_TESTS_SIMULATION_FAKE_STORE_HPP
#define POMELOHINGE_TESTS_SIMULATION_FAKE_STORE_HPP

#include "servers/control/store_results.hpp"
#include "servers/idempotency/record.hpp"
#include "tests/simulation/event_simulator.hpp"

#include <map>
#include <set>

namespace pomelohinge::simulation {

/// What a restore from an older copy takes back.
struct fake_store_contents
{
    std::uint64_t revision_ = 10;
    std::uint64_t version_ = 0;
    std::map<target_id, target_record> targets_;
    /// The revision of the last change of each target, removed ones included.
    std::map<target_id, std::uint64_t> change_revisions_;
    std::set<data_centre_id> closed_;
    std::map<std::string, rollout_order> rollouts_;
    std::map<vm_id, vm_record> vms_;
    /// By organisation and idempotency key.
    std::map<std::string, idempotency_record> records_;
};

/// The platform's store in virtual time, with injected faults: it can be
/// unavailable for some VMs, slow or unresponsive, and its watches can stall
/// and then lose their history.
class fake_store : private fake_store_contents
{
    using contents = fake_store_contents;

public:
    static constexpr duration min_answer_delay = std::chrono::milliseconds(4);
    /// A call that the store does not answer fails after this.
    static constexpr duration call_timeout = std::chrono::milliseconds(1000);

    explicit fake_store(event_simulator& simulator) : simulator_(simulator) {}

    // Changes by operators and targets. They are acknowledged on return.

    void set_configuration(configuration next)
    {
        versions_.emplace(++version_, std::move(next));
        ++revision_;
    }

    configuration const& current() const { return versions_.at(version_); }
    std::uint64_t version() const { return version_; }

    configuration const* at_version(std::uint64_t version) const
    {
        auto const it = versions_.find(version);
        return it == versions_.end() ? nullptr : &it->second;
    }

    void put_target(target_record record)
    {
        record.revision = ++revision_;
        change_revisions_[record.id] = revision_;
        targets_[record.id] = std::move(record);
    }

    void remove_target(target_id const& id)
    {
        targets_.erase(id);
        change_revisions_[id] = ++revision_;
    }

    std::map<target_id, target_record> const& targets() const
    {
        return targets_;
    }

    void set_closed(std::string const& data_centre, bool closed)
    {
        ++revision_;
        if (closed)
            closed_.insert(data_centre_id(data_centre));
        else
            closed_.erase(data_centre_id(data_centre));
    }

    void order_rollout(rollout_order order)
    {
        order.revision = ++revision_;
        auto const name = order.name;
        rollouts_[name] = std::move(order);
    }

    std::map<std::string, rollout_order> const& rollouts() const
    {
        return rollouts_;
    }

    /// Keeps a copy of all objects for `restore`.
    void take_copy() { copy_ = static_cast<contents const&>(*this); }

    /// Restores the store from the copy: revisions go back, and the era that
    /// its answers tell increases.
    void restore()
    {
        static_cast<contents&>(*this) = copy_;
        ++era_;
    }

    /// The number in `Store-Era`; 0 if the store does not send the header.
    void set_era(std::uint64_t era) { era_ = era; }

    std::uint64_t era() const { return era_; }

    std::map<vm_id, vm_record> const& vms() const { return vms_; }

    // Injected faults.

    void set_unavailable_for(std::set<std::string> vms)
    {
        unavailable_for_ = std::move(vms);
    }
    void set_unresponsive(bool unresponsive) { unresponsive_ = unresponsive; }
    void set_answer_delay(duration delay) { answer_delay_ = delay; }
    /// A stalled watch reports no changes. When it resumes, the history of
    /// earlier changes is lost.
    void set_watch_stalled(bool is_stalled)
    {
        watch_stalled_ = is_stalled;
        if (!is_stalled)
            history_start_ = revision_;
    }

    bool is_unavailable_for(std::string const& vm) const
    {
        return unavailable_for_.contains(vm) ||
            simulator_.is_blocked(vm, "store");
    }

    /// The number of calls so far, answered or not.
    std::uint64_t calls() const { return calls_; }

    /// The number of calls of one VM so far.
    std::uint64_t calls_by(std::string const& vm) const
    {
        auto const it = calls_by_vm_.find(vm);
        return it == calls_by_vm_.end() ? 0 : it->second;
    }

    // Calls by a VM.

    void read_configuration(
        std::string const& vm, std::function<void(configuration_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            if (!reached)
                return done({});
            done({store_status::done,
                {version_,
                    std::make_shared<std::string>(std::to_string(version_))},
                era_});
        });
    }

    void list_targets(
        std::string const& vm, std::function<void(targets_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            if (!reached)
                return done({});
            targets_result result{
                store_status::done, {revision_, true, {}, {}}, era_};
            for (auto const& [id, it] : targets_)
                result.changes.put.push_back(it);
            done(std::move(result));
        });
    }

    void watch_targets(std::string const& vm, std::uint64_t revision,
        duration long_poll_timeout, std::function<void(targets_result)> done)
    {
        count_call(vm);
        poll_watch(vm, revision, simulator_.now() + long_poll_timeout,
            std::move(done));
    }

    void list_closures(
        std::string const& vm, std::function<void(closures_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            if (!reached)
                return done({});
            done({store_status::done,
                {revision_, {closed_.begin(), closed_.end()}}, era_});
        });
    }

    void list_rollouts(
        std::string const& vm, std::function<void(rollouts_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            if (!reached)
                return done({});
            rollouts_result result{store_status::done, {revision_, {}}};
            for (auto const& [name, it] : rollouts_)
                result.rollouts.orders.push_back(it);
            done(std::move(result));
        });
    }

    void write_rollout(std::string const& vm, rollout_order const& order,
        rollout_status status, std::function<void(rollout_write_result)> done)
    {
        answer(vm, [this, order, status, done](bool reached) {
            if (!reached)
                return done({});
            auto const it = rollouts_.find(order.name);
            if (it == rollouts_.end() || it->second.revision != order.revision)
                return done({store_status::conflict, 0});
            it->second.status = status;
            it->second.revision = ++revision_;
            done({store_status::done, revision_});
        });
    }

    void list_vms(std::string const& vm, std::function<void(vms_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            vms_result result;
            if (reached) {
                result.status = store_status::done;
                for (auto const& [name, it] : vms_)
                    result.vms.push_back(it);
            }
            done(std::move(result));
        });
    }

    void register_vm(std::string const& vm, vm_record const& record,
        std::function<void(store_status)> done)
    {
        answer(vm, [this, record, done](bool reached) {
            if (reached)
                vms_[record.vm] = record;
            done(reached ? store_status::done : store_status::unavailable);
        });
    }

    void remove_vm(std::string const& vm, vm_id const& removed_vm,
        std::function<void(store_status)> done)
    {
        answer(vm, [this, removed_vm, done](bool reached) {
            if (reached)
                vms_.erase(removed_vm);
            done(reached ? store_status::done : store_status::unavailable);
        });
    }

    void create_record(std::string const& vm, idempotency_record record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        answer(vm, [this, record, done](bool reached) {
            if (!reached)
                return done(record_outcome::unavailable, {});
            auto const key = record.organisation + "/" + record.idempotency_key;
            auto const [it, is_new] = records_.emplace(key, record);
            done(is_new ? record_outcome::accepted : record_outcome::running,
                it->second);
        });
    }

    void write_record(std::string const& vm, idempotency_record record)
    {
        answer(vm, [this, record](bool reached) {
            if (reached)
                records_[record.organisation + "/" + record.idempotency_key] =
                    record;
        });
    }

    void remove_record(std::string const& vm, idempotency_record record)
    {
        answer(vm, [this, record](bool reached) {
            if (reached)
                records_.erase(
                    record.organisation + "/" + record.idempotency_key);
        });
    }

private:
    static constexpr duration watch_poll_period = std::chrono::milliseconds(50);

    /// Calls `run(true)` after the delay of the store's answer. If the call
    /// fails, calls `run(false)`: after the same delay if the store is
    /// unavailable for the VM, after `call_timeout` if it does not answer.
    void answer(std::string const& vm, std::function<void(bool)> run)
    {
        count_call(vm);
        if (unresponsive_ || simulator_.is_blocked(vm, "store"))
            return simulator_.schedule_after(
                call_timeout, [run] { run(false); });
        auto const delay = std::max(min_answer_delay, answer_delay_);
        simulator_.schedule_after(
            std::min(delay, call_timeout), [this, vm, run, delay] {
                run(!unavailable_for_.contains(vm) && delay < call_timeout);
            });
    }

    /// Answers a watch as soon as there are changes after `revision`, or at
    /// `deadline`.
    void poll_watch(std::string const& vm, std::uint64_t revision,
        time_point deadline, std::function<void(targets_result)> done)
    {
        simulator_.schedule_after(
            watch_poll_period, [this, vm, revision, deadline, done] {
                if (unresponsive_ || is_unavailable_for(vm))
                    return done({});
                bool const is_gone = !watch_stalled_ &&
                    (revision < history_start_ || revision > revision_);
                if (is_gone)
                    return done({store_status::history_gone, {}, era_});
                auto result = changes_after(revision);
                bool const has_changes = !result.changes.put.empty() ||
                    !result.changes.removed.empty();
                if (watch_stalled_)
                    result = {
                        store_status::done, {revision_, false, {}, {}}, era_};
                if ((has_changes && !watch_stalled_) ||
                    simulator_.now() >= deadline)
                    return done(std::move(result));
                poll_watch(vm, revision, deadline, done);
            });
    }

    /// The targets put and removed after `revision`.
    targets_result changes_after(std::uint64_t revision) const
    {
        targets_result result{
            store_status::done, {revision_, false, {}, {}}, era_};
        for (auto const& [id, at] : change_revisions_) {
            if (at <= revision)
                continue;
            auto const it = targets_.find(id);
            if (it == targets_.end())
                result.changes.removed.push_back(id);
            else
                result.changes.put.push_back(it->second);
        }
        return result;
    }

    event_simulator& simulator_;
    contents copy_;
    std::uint64_t era_ = 0;
    /// Contains versions that a restore took back, which VMs may still hold.
    std::map<std::uint64_t, configuration> versions_;
    std::set<std::string> unavailable_for_;
    bool unresponsive_ = false;
    bool watch_stalled_ = false;
    /// Injected; `min_answer_delay` applies if it is longer.
    duration answer_delay_{};
    /// Watches from an earlier revision fail.
    std::uint64_t history_start_ = 0;
    void count_call(std::string const& vm)
    {
        ++calls_;
        ++calls_by_vm_[vm];
    }

    std::uint64_t calls_ = 0;
    std::map<std::string, std::uint64_t> calls_by_vm_;
};

} // namespace pomelohinge::simulation

#endif
