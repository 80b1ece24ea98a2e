#include "drivers/platform/native_store.hpp"

#include <xxhash.h>

namespace pomelohinge {
namespace {

std::uint64_t incarnation_of(target_object const& target)
{
    auto const& address = target.address;
    return XXH64(address.data(), address.size(), 0);
}

} // namespace

std::optional<configuration> decode_native_configuration(
    std::string_view text, findings& found)
{
    return parse_configuration(text, found);
}

store_status native_store::apply(journal_reading reading)
{
    if (reading.status != store_status::done)
        return reading.status;
    bool changed = configuration_text_ == nullptr;
    for (auto const& it : reading.entries) {
        if (it.version <= version_)
            continue;
        if (it.version != version_ + 1) {
            log(log_event::object_unreadable,
                {{"object", "journal"}, {"missing", version_ + 1}});
            return store_status::unavailable;
        }
        configuration_ = configuration_.with(it.changes);
        version_ = it.version;
        changed = true;
    }
    revision_ = std::max(revision_, reading.revision);
    if (changed)
        configuration_text_ =
            std::make_shared<std::string>(print_configuration(configuration_));
    return store_status::done;
}

void native_store::update(duration wait, std::function<void(store_status)> done)
{
    journal_.entries_after(
        revision_, wait, [this, done = std::move(done)](journal_reading it) {
            auto status = apply(std::move(it));
            // The revisions of a new era begin anew, so the journal is read
            // from its start.
            bool const is_new = revision_era_ < store_.era();
            bool const has_read = revision_ > 0;
            revision_era_ = store_.era();
            if (is_new && has_read && status == store_status::done) {
                revision_ = 0;
                return update(duration::zero(), done);
            }
            done(status);
        });
}

void native_store::read_configuration(
    std::function<void(configuration_result)> done)
{
    update(duration::zero(), [this, done = std::move(done)](store_status it) {
        configuration_result result;
        result.status = it;
        result.era = store_.era();
        if (it == store_status::done) {
            result.document = {version_, configuration_text_};
        }
        done(std::move(result));
    });
}

target_changes native_store::configured_targets() const
{
    target_changes changes;
    changes.revision = version_;
    changes.whole = true;
    for (auto const& [name, it] : configuration_.table<target_object>()) {
        target_record record;
        record.id = target_id(name);
        record.incarnation = incarnation_of(it);
        record.service = it.service;
        record.data_centre = it.data_centre;
        record.address = it.address;
        record.slots = it.slots;
        record.standing = it.desired_state == desired_target_state::leaving
            ? target_standing::draining
            : target_standing::serving;
        record.revision = version_;
        changes.put.push_back(std::move(record));
    }
    return changes;
}

data_centre_closures native_store::configured_closures() const
{
    data_centre_closures closures;
    closures.revision = version_;
    for (auto const& [name, it] : configuration_.table<data_centre_object>())
        if (it.state == data_centre_state::out)
            closures.closed.emplace_back(name);
    return closures;
}

void native_store::list_targets(std::function<void(targets_result)> done)
{
    update(duration::zero(), [this, done = std::move(done)](store_status it) {
        targets_version_ = version_;
        done({it, configured_targets(), store_.era()});
    });
}

void native_store::watch_targets(
    std::uint64_t, duration wait, std::function<void(targets_result)> done)
{
    auto const returned_version = targets_version_;
    update(returned_version < version_ ? duration::zero() : wait,
        [this, returned_version, done = std::move(done)](store_status it) {
            targets_version_ = version_;
            if (returned_version < version_)
                return done({it, configured_targets(), store_.era()});
            target_changes unchanged;
            unchanged.revision = version_;
            done({it, std::move(unchanged), store_.era()});
        });
}

void native_store::list_closures(std::function<void(closures_result)> done)
{
    update(duration::zero(), [this, done = std::move(done)](store_status it) {
        done({it, configured_closures(), store_.era()});
    });
}

void native_store::list_rollouts(std::function<void(rollouts_result)> done)
{
    update(duration::zero(), [this, done = std::move(done)](store_status it) {
        done({it, {version_, {}}});
    });
}

void native_store::write_rollout(rollout_order const&, rollout_status,
    std::function<void(rollout_write_result)> done)
{
    done({store_status::unavailable, 0});
}

void native_store::list_vms(std::function<void(vms_result)> done)
{
    store_.watch(std::string(vms_prefix), 0, duration::zero(),
        [this, done = std::move(done)](watch_reply reply) {
            auto result = std::make_shared<vms_result>();
            result->status = reply.status;
            if (reply.status != store_status::done)
                return done(std::move(*result));
            read_vms(std::move(reply), 0, std::move(result), done);
        });
}

void native_store::read_vms(watch_reply listed, std::size_t next,
    std::shared_ptr<vms_result> result, std::function<void(vms_result)> done)
{
    if (next == listed.changed.size())
        return done(std::move(*result));
    auto const name = listed.changed[next].name;
    store_.get(name,
        [this, listed = std::move(listed), next, result = std::move(result),
            done = std::move(done)](get_reply reply) mutable {
            if (reply.status != store_status::done)
                return done({store_status::unavailable, {}});
            findings found(reply.object.name);
            if (reply.object.version > 0)
                if (auto vm = decode_vm(reply.object.value, found))
                    result->vms.push_back(std::move(*vm));
            if (!found.empty())
                log(log_event::object_unreadable,
                    {{"object", reply.object.name},
                        {"findings", found.to_text()}});
            read_vms(std::move(listed), next + 1, std::move(result),
                std::move(done));
        });
}

void native_store::register_vm(
    vm_record const& vm, std::function<void(store_status)> done)
{
    auto const name = vm_name(vm.vm);
    store_.get(name, [this, name, vm, done = std::move(done)](get_reply reply) {
        if (reply.status != store_status::done)
            return done(reply.status);
        store_.put(name, encode_vm(vm), reply.object.version,
            [done](put_reply it) { done(it.status); });
    });
}

void native_store::remove_vm(
    vm_id const& vm, std::function<void(store_status)> done)
{
    auto const name = vm_name(vm);
    store_.get(name, [this, name, done = std::move(done)](get_reply reply) {
        if (reply.status != store_status::done || reply.object.version == 0)
            return done(reply.status);
        store_.remove(name, reply.object.version,
            [done](put_reply it) { done(it.status); });
    });
}

void native_records::create(idempotency_record const& record,
    std::function<void(record_outcome, idempotency_record)> done)
{
    auto const name = record_name(record);
    store_.put(name, encode_record(record), 0,
        [this, name, record, done = std::move(done)](put_reply it) {
            if (it.status == store_status::conflict)
                return find(name, done);
            if (it.status != store_status::done)
                return done(record_outcome::unavailable, {});
            auto created = record;
            created.version = it.version;
            done(record_outcome::accepted, std::move(created));
        });
}

void native_records::find(std::string const& name,
    std::function<void(record_outcome, idempotency_record)> done)
{
    store_.get(name, [done = std::move(done)](get_reply reply) {
        if (reply.status != store_status::done || reply.object.version == 0)
            return done(record_outcome::unavailable, {});
        findings found(reply.object.name);
        auto record = decode_record(reply.object.value, found);
        if (!found.empty())
            log(log_event::object_unreadable,
                {{"object", reply.object.name}, {"findings", found.to_text()}});
        if (!record)
            return done(record_outcome::unknown, {});
        done(record_outcome::running, std::move(*record));
    });
}

void native_records::write(idempotency_record const& record)
{
    auto const name = record_name(record);
    store_.put(
        name, encode_record(record), record.version, [name](put_reply it) {
            if (it.status != store_status::done)
                log(log_event::record_not_written,
                    {{"object", name}, {"status", to_name(it.status)}});
        });
}

void native_records::remove(idempotency_record const& record)
{
    auto const name = record_name(record);
    store_.remove(name, record.version, [name](put_reply it) {
        if (it.status != store_status::done)
            log(log_event::record_not_written,
                {{"object", name}, {"status", to_name(it.status)}});
    });
}

} // namespace pomelohinge
