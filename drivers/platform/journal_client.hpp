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

/// Entries of the journal up to a revision of the store.
struct journal_reading
{
    store_status status = store_status::unavailable;
    std::uint64_t revision = 0;
    std::vector<journal_entry> entries;
};

/// The journal in the platform's objects: `config/journal/VERSION` holds one
/// entry, `config/body/WRITE_ID/PART` the parts of a large one.
template <ObjectStore Store>
class journal_client
{
public:
    explicit journal_client(Store& store) : store_(store) {}

    /// Waits up to `wait` for entries after `revision` and reads them.
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

    /// Appends an entry to the journal; `conflict` means that its version
    /// was taken by another.
    void append(
        journal_entry const& entry, std::function<void(store_status)> done)
    {
        auto parts = split_entry(entry);
        auto const left = std::make_shared<append_step>(
            append_step{entry, std::move(parts), 0, std::move(done)});
        write_next_part(left);
    }

private:
    struct append_step
    {
        journal_entry entry;
        std::vector<std::string> parts;
        std::size_t written;
        std::function<void(store_status)> done;
    };

    /// Reads one changed object after the other, in order of names, so that
    /// entries of the journal come in order of versions.
    struct read_step
    {
        watch_reply watched;
        std::size_t next = 0;
        journal_reading result;
        std::function<void(journal_reading)> done;
    };

    void write_next_part(std::shared_ptr<append_step> step)
    {
        bool const single = step->parts.size() == 1;
        if (single || step->written == step->parts.size())
            return store_.put(journal_name(step->entry.version),
                single ? step->parts.front()
                       : encode_parts(step->entry, step->parts.size()),
                0, [step](put_reply reply) { step->done(reply.status); });
        auto const name = part_name(step->entry.write_id, step->written);
        store_.put(
            name, step->parts[step->written], 0, [this, step](put_reply reply) {
                if (reply.status != store_status::done)
                    return step->done(store_status::unavailable);
                ++step->written;
                write_next_part(step);
            });
    }

    void read_changed(
        watch_reply reply, std::function<void(journal_reading)> done)
    {
        std::sort(reply.changed.begin(), reply.changed.end(),
            [](auto const& left, auto const& right) {
                return left.name < right.name;
            });
        auto step = std::make_shared<read_step>();
        step->result = {store_status::done, reply.revision, {}};
        step->watched = std::move(reply);
        step->done = std::move(done);
        read_next(std::move(step));
    }

    void read_next(std::shared_ptr<read_step> step)
    {
        if (step->next == step->watched.changed.size())
            return step->done(std::move(step->result));
        auto const& name = step->watched.changed[step->next++].name;
        store_.get(name, [this, step](get_reply reply) {
            if (reply.status != store_status::done)
                return step->done({store_status::unavailable, 0, {}});
            if (reply.object.version == 0)
                return read_next(step);
            take(std::move(reply.object), step);
        });
    }

    void take(stored_object object, std::shared_ptr<read_step> step)
    {
        auto const parts = parts_of(object.value);
        if (!parts)
            return take_entry(object.value, step);
        read_part(std::make_shared<parts_step>(
            parts_step{*parts, 0, {}, std::move(step)}));
    }

    struct parts_step
    {
        split_reference reference;
        std::size_t next;
        journal_entry entry;
        std::shared_ptr<read_step> step;
    };

    void read_part(std::shared_ptr<parts_step> it)
    {
        if (it->next == it->reference.parts) {
            it->entry.version = it->reference.version;
            it->step->result.entries.push_back(std::move(it->entry));
            return read_next(it->step);
        }
        store_.get(part_name(it->reference.write_id, it->next),
            [this, it](get_reply reply) {
                findings found(reply.object.name);
                auto part = reply.status == store_status::done
                    ? decode_journal_entry(reply.object.value, found)
                    : std::nullopt;
                if (!part)
                    return it->step->done({store_status::unavailable, 0, {}});
                auto& changes = it->entry.changes;
                changes.insert(
                    changes.end(), part->changes.begin(), part->changes.end());
                it->entry.write_id = part->write_id;
                it->entry.operator_name = part->operator_name;
                ++it->next;
                read_part(it);
            });
    }

    void take_entry(
        std::string const& value, std::shared_ptr<read_step> const& step)
    {
        findings found("journal");
        if (auto entry = decode_journal_entry(value, found))
            step->result.entries.push_back(std::move(*entry));
        report(found);
        read_next(step);
    }

    static void report(findings const& found)
    {
        if (!found.empty())
            log(log_event::object_unreadable, {{"findings", found.to_text()}});
    }

    Store& store_;
};

} // namespace pomelohinge

#endif
