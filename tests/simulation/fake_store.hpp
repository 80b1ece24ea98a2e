#ifndef POMELOHINGE_TESTS_SIMULATION_FAKE_STORE_HPP
#define POMELOHINGE_TESTS_SIMULATION_FAKE_STORE_HPP

#include "servers/control/store_results.hpp"
#include "servers/idempotency/record.hpp"
#include "tests/simulation/virtual_world.hpp"

#include <map>
#include <set>

namespace pomelohinge::simulation {

/// The platform's store in virtual time, with its troubles: it can be away
/// for some VMs, slow, deaf to its watches, and forget its history.
class fake_store
{
public:
    static constexpr duration answer_time = std::chrono::milliseconds(4);
    /// A call to a store that says nothing ends after this.
    static constexpr duration call_timeout = std::chrono::milliseconds(1000);

    explicit fake_store(virtual_world& world) : world_(world) {}

    // What operators and targets do. The return is the acknowledgement.

    void set_configuration(configuration next)
    {
        versions_.emplace(++version_, std::move(next));
        ++revision_;
    }

    configuration const& current() const { return versions_.rbegin()->second; }
    std::uint64_t version() const { return version_; }

    configuration const* at_version(std::uint64_t version) const
    {
        auto const it = versions_.find(version);
        return it == versions_.end() ? nullptr : &it->second;
    }

    void put_target(target_record record)
    {
        record.revision = ++revision_;
        changed_[record.id] = revision_;
        targets_[record.id] = std::move(record);
    }

    void remove_target(target_id const& id)
    {
        targets_.erase(id);
        changed_[id] = ++revision_;
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

    // Troubles.

    void set_away_for(std::set<std::string> vms) { away_for_ = std::move(vms); }
    void set_silent(bool silent) { silent_ = silent; }
    void set_slow(duration answer) { slow_ = answer; }
    void set_deaf(bool deaf)
    {
        deaf_ = deaf;
        if (!deaf)
            history_since_ = revision_;
    }

    bool is_away_for(std::string const& vm) const
    {
        return away_for_.contains(vm) || world_.is_cut(vm, "store");
    }

    /// Calls that were made, answered or not.
    std::uint64_t calls() const { return calls_; }

    // Calls of a VM.

    void read_configuration(
        std::string const& vm, std::function<void(configuration_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            if (!reached)
                return done({});
            done({store_status::done,
                {version_,
                    std::make_shared<std::string>(std::to_string(version_))}});
        });
    }

    void list_targets(
        std::string const& vm, std::function<void(targets_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            if (!reached)
                return done({});
            targets_result reading{
                store_status::done, {revision_, true, {}, {}}};
            for (auto const& [id, it] : targets_)
                reading.changes.put.push_back(it);
            done(std::move(reading));
        });
    }

    void watch_targets(std::string const& vm, std::uint64_t revision,
        duration wait, std::function<void(targets_result)> done)
    {
        ++calls_;
        watch_again(vm, revision, world_.now() + wait, std::move(done));
    }

    void list_closures(
        std::string const& vm, std::function<void(closures_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            if (!reached)
                return done({});
            done({store_status::done,
                {revision_, {closed_.begin(), closed_.end()}}});
        });
    }

    void list_vms(std::string const& vm, std::function<void(vms_result)> done)
    {
        answer(vm, [this, done](bool reached) {
            vms_result reading;
            if (reached) {
                reading.status = store_status::done;
                for (auto const& [name, it] : vms_)
                    reading.vms.push_back(it);
            }
            done(std::move(reading));
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

    void remove_vm(std::string const& vm, vm_id const& gone,
        std::function<void(store_status)> done)
    {
        answer(vm, [this, gone, done](bool reached) {
            if (reached)
                vms_.erase(gone);
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
            auto const [it, fresh] = records_.emplace(key, record);
            done(fresh ? record_outcome::accepted : record_outcome::running,
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
    static constexpr duration watch_step = std::chrono::milliseconds(50);

    /// Answers a call after the store's time, or fails it: at once when the
    /// VM is turned away, later when the store says nothing.
    void answer(std::string const& vm, std::function<void(bool)> run)
    {
        ++calls_;
        if (silent_ || world_.is_cut(vm, "store"))
            return world_.after(call_timeout, [run] { run(false); });
        auto const takes = std::max(answer_time, slow_);
        world_.after(std::min(takes, call_timeout), [this, vm, run, takes] {
            run(!away_for_.contains(vm) && takes < call_timeout);
        });
    }

    void watch_again(std::string const& vm, std::uint64_t revision,
        time_point end, std::function<void(targets_result)> done)
    {
        world_.after(watch_step, [this, vm, revision, end, done] {
            if (silent_ || is_away_for(vm))
                return done({});
            if (!deaf_ && revision < history_since_)
                return done({store_status::history_gone, {}});
            auto reading = changes_after(revision);
            bool const news = !reading.changes.put.empty() ||
                !reading.changes.removed.empty();
            if (deaf_)
                reading = {store_status::done, {revision_, false, {}, {}}};
            if ((news && !deaf_) || world_.now() >= end)
                return done(std::move(reading));
            watch_again(vm, revision, end, done);
        });
    }

    targets_result changes_after(std::uint64_t revision) const
    {
        targets_result reading{store_status::done, {revision_, false, {}, {}}};
        for (auto const& [id, at] : changed_) {
            if (at <= revision)
                continue;
            auto const it = targets_.find(id);
            if (it == targets_.end())
                reading.changes.removed.push_back(id);
            else
                reading.changes.put.push_back(it->second);
        }
        return reading;
    }

    virtual_world& world_;
    std::uint64_t revision_ = 10;
    std::uint64_t version_ = 0;
    std::map<std::uint64_t, configuration> versions_;
    std::map<target_id, target_record> targets_;
    std::map<target_id, std::uint64_t> changed_;
    std::set<data_centre_id> closed_;
    std::map<vm_id, vm_record> vms_;
    std::map<std::string, idempotency_record> records_;
    std::set<std::string> away_for_;
    bool silent_ = false;
    bool deaf_ = false;
    duration slow_{};
    std::uint64_t history_since_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace pomelohinge::simulation

#endif
