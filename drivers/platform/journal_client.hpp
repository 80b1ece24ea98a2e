#ifndef POMELOHINGE_DRIVERS_PLATFORM_JOURNAL_CLIENT_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_JOURNAL_CLIENT_HPP

#include "config/configuration_text.hpp"
#include "core/log.hpp"
#include "drivers/platform/object_encoding.hpp"
#include "drivers/platform/object_store.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace pomelohinge {

/// The result of reading journal entries.
struct journal_reading
{
    store_status status = store_status::unavailable;
    /// The store revision up to which entries are included.
    std::uint64_t revision = 0;
    std::vector<journal_entry> entries;
};

/// Reads and appends to the configuration journal in the object service. The
/// object `config/journal/VERSION` holds one entry; a large entry is split into
/// parts in the objects `config/body/WRITE_ID/PART`.
template <ObjectStore Store>
class journal_client
{
public:
    explicit journal_client(Store& store) : store_(store) {}

    /// Waits up to `wait` for entries after `revision` (long poll) and reads
    /// them.
    void entries_after(std::uint64_t revision, duration wait,
        std::function<void(journal_reading)> done)
    {
        store_.watch(std::string(journal_prefix), revision, wait,
            [this, revision, done = std::move(done)](
                watch_reply reply) mutable {
                if (reply.status != store_status::done ||
                    reply.revision < revision)
                    return done({reply.status, reply.revision, {}});
                read_changed(std::move(reply), std::move(done));
            });
    }

    /// Appends an entry to the journal. The result is `conflict` if the journal
    /// already has another entry of this version.
    void append(
        journal_entry const& entry, std::function<void(store_status)> done)
    {
        auto parts = split_entry(entry);
        auto const pending = std::make_shared<pending_append>(
            pending_append{entry, std::move(parts), 0, std::move(done)});
        write_next_part(pending);
    }

private:
    /// An append that has not ended. Its parts are written before the entry
    /// that refers to them.
    struct pending_append
    {
        journal_entry entry;
        std::vector<std::string> parts;
        /// Number of parts written so far.
        std::size_t written;
        std::function<void(store_status)> done;
    };

    /// A read that has not ended. The changed objects are read one at a time
    /// in the order of their names, which is the order of versions.
    struct pending_read
    {
        watch_reply watched;
        std::size_t next = 0;
        journal_reading result;
        std::function<void(journal_reading)> done;
    };

    void write_next_part(std::shared_ptr<pending_append> pending)
    {
        bool const single = pending->parts.size() == 1;
        if (single || pending->written == pending->parts.size())
            return store_.put(journal_entry_name(pending->entry.version),
                single ? pending->parts.front()
                       : encode_split_reference(
                             pending->entry, pending->parts.size()),
                0, [pending](put_reply reply) { pending->done(reply.status); });
        auto const name =
            entry_part_name(pending->entry.write_id, pending->written);
        store_.put(name, pending->parts[pending->written], 0,
            [this, pending](put_reply reply) {
                if (reply.status != store_status::done)
                    return pending->done(store_status::unavailable);
                ++pending->written;
                write_next_part(pending);
            });
    }

    void read_changed(
        watch_reply reply, std::function<void(journal_reading)> done)
    {
        std::sort(reply.changed.begin(), reply.changed.end(),
            [](auto const& left, auto const& right) {
                return left.name < right.name;
            });
        auto pending = std::make_shared<pending_read>();
        pending->result = {store_status::done, reply.revision, {}};
        pending->watched = std::move(reply);
        pending->done = std::move(done);
        read_next(std::move(pending));
    }

    void read_next(std::shared_ptr<pending_read> pending)
    {
        if (pending->next == pending->watched.changed.size())
            return pending->done(std::move(pending->result));
        auto const& name = pending->watched.changed[pending->next++].name;
        store_.get(name, [this, pending](get_reply reply) {
            if (reply.status != store_status::done)
                return pending->done({store_status::unavailable, 0, {}});
            if (reply.object.version == 0)
                return read_next(pending);
            add_object(std::move(reply.object), pending);
        });
    }

    void add_object(stored_object object, std::shared_ptr<pending_read> pending)
    {
        auto const reference = decode_split_reference(object.value);
        if (!reference)
            return add_entry(object.value, pending);
        read_part(std::make_shared<pending_parts_read>(
            pending_parts_read{*reference, 0, {}, std::move(pending)}));
    }

    /// A read of one entry that is split into parts.
    struct pending_parts_read
    {
        split_reference reference;
        std::size_t next;
        journal_entry entry;
        std::shared_ptr<pending_read> pending;
    };

    void read_part(std::shared_ptr<pending_parts_read> it)
    {
        if (it->next == it->reference.parts) {
            it->entry.version = it->reference.version;
            it->pending->result.entries.push_back(std::move(it->entry));
            return read_next(it->pending);
        }
        store_.get(entry_part_name(it->reference.write_id, it->next),
            [this, it](get_reply reply) {
                findings found(reply.object.name);
                auto part = reply.status == store_status::done
                    ? decode_journal_entry(reply.object.value, found)
                    : std::nullopt;
                if (!part)
                    return it->pending->done(
                        {store_status::unavailable, 0, {}});
                auto& changes = it->entry.changes;
                changes.insert(
                    changes.end(), part->changes.begin(), part->changes.end());
                it->entry.write_id = part->write_id;
                it->entry.operator_name = part->operator_name;
                ++it->next;
                read_part(it);
            });
    }

    void add_entry(
        std::string const& value, std::shared_ptr<pending_read> const& pending)
    {
        findings found("journal");
        if (auto entry = decode_journal_entry(value, found))
            pending->result.entries.push_back(std::move(*entry));
        log_findings(found);
        read_next(pending);
    }

    static void log_findings(findings const& found)
    {
        if (!found.empty())
            log(log_event::object_unreadable, {{"findings", found.to_text()}});
    }

    Store& store_;
};

} // namespace pomelohinge

#endif
